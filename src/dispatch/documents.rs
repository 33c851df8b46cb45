//! How a configuration, or a list of endpoints, reaches an instance that the store turns away: it asks one peer at a time
//! for one piece at a time.
//!
//! Heartbeats tell which version everyone has, so that who lacks one knows whom to ask. Pushed by all who had it, a document
//! crossed a slow link as often as there were peers: 30 times its size to each of four instances, measured in bytes with
//! 34 instances and 1,500 routes. Asked for, it crosses once, whatever their number.

use super::{
    id::keyed_hash,
    member::Member,
    message::{
        Document,
        Message,
        Output,
        Piece,
        Record,
        Roster, //
    },
    owner::Effects,
    route::Configuration,
    Dispatcher, //
};
use crate::prelude::*;

/// Bytes in a piece: 10 ms of a link of 25 Mbit/s, so that what else is on its way to the peer waits no longer.
const PIECE: usize = 32 << 10;

/// How long a peer may take for a piece before another is asked: fifty times what it takes on such a link.
const PATIENCE: Span = Span::millis(500);

/// The largest document that is taken, in bytes: sixty times the largest row that the store takes.
const LARGEST: u32 = 16 << 20;

/// How many peers of the own data centre are asked before those of others: bytes between data centres are dear, and a data
/// centre may be cut off as a whole.
const NEAR: u32 = 2;

impl Document {
    /// How long an instance may lack a document before it asks a peer: most hear it from the store at the same time.
    fn delay(self) -> Span {
        match self {
            Self::Configuration => Span::millis(300),
            Self::Roster => Span::millis(1_000),
        }
    }
}

/// A peer that has a newer document.
#[derive(Debug, Clone)]
struct Holder {
    name: Instance,
    version: u64,
    far: bool,
}

/// What has come of a document, from which peer.
#[derive(Debug)]
struct Partial {
    from: Instance,
    /// When the last piece came, or the first was asked for.
    since: Time,
    version: u64,
    size: u32,
    bytes: Vec<u8>,
}

/// A document that this instance lacks.
#[derive(Debug, Default)]
struct Transfer {
    /// Since when, and which version of it was the newest then.
    lacking: Option<(Time, u64)>,
    /// Peers that were asked in vain.
    attempts: u32,
    partial: Option<Partial>,
}

/// What became of a piece.
#[derive(Debug, PartialEq)]
enum Progress {
    /// It wasn't wanted.
    Unwanted,
    /// The next piece is to be asked for, from this offset.
    Next(u32),
    /// The document is whole.
    Whole(Vec<u8>),
}

impl Transfer {
    /// Chooses a peer to ask, where none is being asked that still lives and answers.
    fn choose(
        &mut self,
        own: (&Instance, u64),
        delay: Span,
        mut holders: Vec<Holder>,
        now: Time,
    ) -> Option<Instance> {
        let newest = holders.iter().map(|holder| holder.version).max();
        let Some(newest) = newest else {
            *self = Self::default();
            return None;
        };
        let (own, version) = own;
        // What was lacked has come; of what has changed since then each hears in its own time.
        let lacking = self.lacking.filter(|(_, lacked)| *lacked > version);
        let (since, _) = *self.lacking.insert(lacking.unwrap_or((now, newest)));
        if now.since(since) < delay {
            return None;
        }
        if let Some(partial) = &self.partial {
            let lives = holders.iter().any(|holder| holder.name == partial.from);
            if lives && now.since(partial.since) < PATIENCE {
                return None;
            }
            self.attempts += 1;
        }
        let (attempts, near) = (self.attempts, self.attempts < NEAR);
        // All who lack it choose differently, so that no peer has to serve them all.
        let preference = |holder: &Holder| {
            let pair = format!("{own} {}", holder.name);
            (near && holder.far, keyed_hash(u64::from(attempts), &pair))
        };
        holders.sort_by_cached_key(preference);
        let chosen = holders.first()?;
        self.partial = Some(Partial {
            from: chosen.name.clone(),
            since: now,
            version: chosen.version,
            size: 0,
            bytes: Vec::new(),
        });
        Some(chosen.name.clone())
    }

    /// Takes a piece in.
    fn take(&mut self, from: &Instance, piece: Piece, now: Time) -> Progress {
        let Some(partial) = self.partial.as_mut().filter(|p| p.from == *from) else {
            return Progress::Unwanted;
        };
        if piece.size > LARGEST || piece.bytes.is_empty() {
            return Progress::Unwanted;
        }
        if piece.offset == 0 {
            // The peer may have a newer one than it was asked for.
            partial.version = piece.version;
            partial.size = piece.size;
            partial.bytes.clear();
        }
        let expected = (partial.version, partial.size, partial.bytes.len());
        if expected != (piece.version, piece.size, piece.offset as usize) {
            return Progress::Unwanted;
        }
        partial.since = now;
        partial.bytes.extend_from_slice(&piece.bytes);
        if partial.bytes.len() < partial.size as usize {
            return Progress::Next(partial.bytes.len() as u32);
        }
        let bytes = std::mem::take(&mut partial.bytes);
        *self = Self::default();
        Progress::Whole(bytes)
    }
}

/// A document as it is sent, kept so that it is written once for all who ask.
#[derive(Debug, Default)]
struct Encoded {
    version: u64,
    bytes: Vec<u8>,
}

/// What is on its way of one document, to this instance and from it.
#[derive(Debug, Default)]
struct Exchange {
    transfer: Transfer,
    encoded: Encoded,
}

/// The documents that this instance asks for, and those that it was asked for.
#[derive(Debug, Default)]
pub(super) struct Documents {
    configuration: Exchange,
    roster: Exchange,
}

impl Documents {
    fn exchange(&mut self, document: Document) -> &mut Exchange {
        match document {
            Document::Configuration => &mut self.configuration,
            Document::Roster => &mut self.roster,
        }
    }
}

impl Dispatcher {
    /// Returns the version of a document that this instance has, zero where it has none.
    pub(super) fn document_version(&self, document: Document) -> u64 {
        match document {
            Document::Configuration => self.configuration.as_ref().map_or(0, |c| c.version),
            Document::Roster if self.has_roster => self.roster.version,
            Document::Roster => 0,
        }
    }

    /// Asks a peer for each document that it has in a newer version.
    pub(super) fn fetch(&mut self, now: Time, out: &mut Effects) {
        for document in [Document::Configuration, Document::Roster] {
            let version = self.document_version(document);
            let holders = self.holders(document, version);
            let own = &self.identity.contact.name;
            let transfer = &mut self.documents.exchange(document).transfer;
            if let Some(name) = transfer.choose((own, version), document.delay(), holders, now) {
                let record = Record::new("document_asked").with("document", document.to_string());
                out.outputs
                    .push(Output::Log(record.with("member", name.as_str())));
                self.ask_piece(&name, document, 0, out);
            }
        }
    }

    fn holders(&self, document: Document, than: u64) -> Vec<Holder> {
        let holder = |member: &Member| {
            let status = member.status.as_ref()?;
            let version = match document {
                Document::Configuration => status.configuration,
                Document::Roster => status.roster,
            };
            (version > than).then(|| Holder {
                name: member.contact.name.clone(),
                version,
                far: member.centre != self.identity.centre,
            })
        };
        self.members.live().filter_map(holder).collect()
    }

    fn ask_piece(&self, from: &Instance, document: Document, offset: u32, out: &mut Effects) {
        if let Some(member) = self.members.get(from) {
            let message = Message::Fetch { document, offset };
            out.messages.push((member.contact.clone(), message));
        }
    }

    /// Sends a piece of a document to a peer that asks for it; from its beginning, where a newer one came meanwhile.
    pub(super) fn send_piece(
        &mut self,
        to: &Instance,
        document: Document,
        offset: u32,
        out: &mut Effects,
    ) {
        let version = self.document_version(document);
        let Some(member) = self.members.get(to).filter(|_| version > 0) else {
            return;
        };
        let to = member.contact.clone();
        let encoded = &mut self.documents.exchange(document).encoded;
        let mut offset = offset as usize;
        if encoded.version != version {
            let written = match document {
                Document::Configuration => postcard::to_stdvec(&self.configuration),
                Document::Roster => postcard::to_stdvec(&self.roster),
            };
            // Plain data always has a form on the wire.
            encoded.bytes = written.unwrap_or_default();
            encoded.version = version;
            offset = 0;
        }
        let Some(rest) = encoded.bytes.get(offset..).filter(|rest| !rest.is_empty()) else {
            return;
        };
        let piece = Piece {
            document,
            version,
            size: encoded.bytes.len() as u32,
            offset: offset as u32,
            bytes: rest[..rest.len().min(PIECE)].to_vec(),
        };
        out.messages.push((to, Message::Piece(Box::new(piece))));
    }

    /// Takes a piece of a document; with the last one the document is in force.
    pub(super) fn take_piece(
        &mut self,
        from: &Instance,
        piece: Piece,
        now: Time,
        out: &mut Effects,
    ) {
        let document = piece.document;
        let transfer = &mut self.documents.exchange(document).transfer;
        let bytes = match transfer.take(from, piece, now) {
            Progress::Unwanted => return,
            Progress::Next(offset) => return self.ask_piece(from, document, offset, out),
            Progress::Whole(bytes) => bytes,
        };
        let read = match document {
            Document::Configuration => postcard::from_bytes::<Option<Configuration>>(&bytes)
                .map(|read| read.map(|read| self.configure(read, from.as_str(), out))),
            Document::Roster => postcard::from_bytes::<Roster>(&bytes).map(|roster| {
                let newer = roster.version > self.roster.version || !self.has_roster;
                newer.then(|| self.list(roster, now, out))
            }),
        };
        if let Err(error) = read {
            let record = Record::new("document_malformed").with("member", from.as_str());
            out.outputs
                .push(Output::Log(record.with("error", error.to_string())));
        }
    }
}
