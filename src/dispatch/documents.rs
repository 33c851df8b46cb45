//! Transfer of the configuration and the list of endpoints between peers, for instances that can't read the store.
//!
//! Heartbeats announce which version each member has. An instance with an older one fetches the document from one
//! peer at a time, in pieces. Documents are pulled rather than pushed, so each crosses a slow link only once,
//! whatever the number of peers that have it.

use std::collections::HashMap;

use super::{
    id::keyed_hash,
    member::Member,
    message::{
        Document,
        LogRecord,
        Message,
        Output,
        Piece,
        Roster, //
    },
    owner::Effects,
    route::Configuration,
    Dispatcher, //
};
use crate::prelude::*;

/// The greatest size of a piece, in bytes: 10 ms on a link of 25 Mbit/s, so that other messages wait no longer.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// How long a peer may take for a piece before another is asked: fifty times what it takes on such a link.
const PIECE_TIMEOUT: Span = Span::millis(500);

/// The greatest size of a document, in bytes: sixty times that of a row in the store. Bounds the memory for pieces.
const MAX_DOCUMENT_BYTES: u32 = 16 << 20;

/// The number of attempts that prefer peers in the own data centre: traffic between data centres is expensive, but
/// the own one may be cut off as a whole.
const LOCAL_ATTEMPTS: u32 = 2;

impl Document {
    /// Returns how long an instance waits for a new version from the store before it asks a peer.
    fn fetch_delay(self) -> Span {
        match self {
            Self::Configuration => Span::millis(300),
            Self::Roster => Span::millis(1_000),
        }
    }
}

impl Document {
    /// Returns how long an encoding is sent to further peers although the document has changed. What has changed in the list of
    /// endpoints since then follows as a change.
    fn encoding_validity(self) -> Span {
        match self {
            Self::Configuration => Span(0),
            Self::Roster => Span::seconds(1),
        }
    }
}

/// A peer that has a newer document.
#[derive(Debug, Clone)]
struct Holder {
    name: Instance,
    version: u64,
    /// Whether it is in another data centre.
    remote: bool,
}

/// The part of a document that a peer has sent.
#[derive(Debug)]
struct Partial {
    from: Instance,
    /// When the last piece arrived, or the first was requested.
    since: Time,
    version: u64,
    size: u32,
    bytes: Vec<u8>,
}

/// The fetch of a document of which peers have a newer version.
#[derive(Debug, Default)]
struct Transfer {
    /// When a newer version was first heard of, and the newest version then.
    outdated_since: Option<(Time, u64)>,
    /// The number of peers that didn't answer in time.
    failed_attempts: u32,
    partial: Option<Partial>,
}

/// What follows from a piece that has arrived.
#[derive(Debug, PartialEq)]
enum AppendResult {
    /// The piece was ignored.
    Ignored,
    /// The next piece begins at this offset, in bytes.
    Next(u32),
    /// The document is complete.
    Complete(Vec<u8>),
}

impl Transfer {
    /// Chooses a peer to fetch from, once a newer version has been announced for longer than `delay`. Returns `None`
    /// before that, and while a fetch from a live peer is in progress.
    ///
    /// `own` is the name of this instance and its version of the document.
    fn choose_peer(
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
        // Once the awaited version has arrived, the delay begins anew for later ones.
        let outdated = self
            .outdated_since
            .filter(|(_, awaited)| *awaited > version);
        let (since, _) = *self
            .outdated_since
            .insert(outdated.unwrap_or((now, newest)));
        if now.since(since) < delay {
            return None;
        }
        if let Some(partial) = &self.partial {
            let live = holders.iter().any(|holder| holder.name == partial.from);
            if live && now.since(partial.since) < PIECE_TIMEOUT {
                return None;
            }
            self.failed_attempts += 1;
        }
        let (attempts, prefer_local) =
            (self.failed_attempts, self.failed_attempts < LOCAL_ATTEMPTS);
        // The hash differs between instances, so that they don't all ask the same peer.
        let preference = |holder: &Holder| {
            let pair = format!("{own} {}", holder.name);
            (
                prefer_local && holder.remote,
                keyed_hash(u64::from(attempts), &pair),
            )
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

    /// Appends a piece if it comes from the chosen peer and continues the document.
    fn append(&mut self, from: &Instance, piece: Piece, now: Time) -> AppendResult {
        let Some(partial) = self.partial.as_mut().filter(|p| p.from == *from) else {
            return AppendResult::Ignored;
        };
        if piece.size > MAX_DOCUMENT_BYTES || piece.bytes.is_empty() {
            return AppendResult::Ignored;
        }
        if piece.offset == 0 {
            // The peer may have a newer version by now than the one that it announced.
            partial.version = piece.version;
            partial.size = piece.size;
            partial.bytes.clear();
        }
        let expected = (partial.version, partial.size, partial.bytes.len());
        if expected != (piece.version, piece.size, piece.offset as usize) {
            return AppendResult::Ignored;
        }
        partial.since = now;
        partial.bytes.extend_from_slice(&piece.bytes);
        if partial.bytes.len() < partial.size as usize {
            return AppendResult::Next(partial.bytes.len() as u32);
        }
        let bytes = std::mem::take(&mut partial.bytes);
        *self = Self::default();
        AppendResult::Complete(bytes)
    }
}

/// An encoded document, kept so that it is encoded once for all peers.
#[derive(Debug, Default)]
struct Encoded {
    version: u64,
    bytes: Vec<u8>,
    since: Time,
}

/// The encoded documents that peers are being sent. A document may change more often than a slow link can carry it, so that a
/// peer that has begun with one version gets the rest of that version.
#[derive(Debug, Default)]
struct Encodings {
    current: Encoded,
    previous: Encoded,
    /// The version that each peer has begun with.
    begun: HashMap<Instance, u64>,
}

impl Encodings {
    /// Returns whether a peer that begins to fetch `version` needs it encoded anew.
    fn is_outdated(&self, document: Document, version: u64, now: Time) -> bool {
        let is_fresh = self.current.version > 0
            && now.since(self.current.since) < document.encoding_validity();
        self.current.version != version && !is_fresh
    }

    /// Replaces the current encoding.
    fn set(&mut self, encoded: Encoded) {
        self.previous = std::mem::replace(&mut self.current, encoded);
        let kept = [self.current.version, self.previous.version];
        self.begun.retain(|_, version| kept.contains(version));
    }

    /// Returns the encoding for a peer that asks for the piece at an offset, and that offset: zero if the version that it has
    /// begun with is gone.
    fn choose(&mut self, peer: &Instance, offset: u32) -> (&Encoded, u32) {
        let begun = self.begun.get(peer).copied().filter(|_| offset > 0);
        if begun.is_some_and(|version| version == self.previous.version) {
            return (&self.previous, offset);
        }
        let is_current = begun == Some(self.current.version);
        self.begun.insert(peer.clone(), self.current.version);
        (&self.current, if is_current { offset } else { 0 })
    }
}

/// The transfers of one document: to this instance, and from it.
#[derive(Debug, Default)]
struct Exchange {
    transfer: Transfer,
    encodings: Encodings,
}

/// The transfers of all documents.
#[derive(Debug, Default)]
pub(super) struct Documents {
    configuration: Exchange,
    roster: Exchange,
}

impl Documents {
    /// Returns the transfers of a document.
    fn exchange(&mut self, document: Document) -> &mut Exchange {
        match document {
            Document::Configuration => &mut self.configuration,
            Document::Roster => &mut self.roster,
        }
    }
}

impl Dispatcher {
    /// Returns this instance's version of a document, or zero if it has none.
    pub(super) fn document_version(&self, document: Document) -> u64 {
        match document {
            Document::Configuration => self.configuration.as_ref().map_or(0, |c| c.version),
            Document::Roster if self.has_roster => self.roster.version,
            Document::Roster => 0,
        }
    }

    /// Begins the fetches that are due of documents of which a peer has announced a newer version.
    pub(super) fn fetch_documents(&mut self, now: Time, out: &mut Effects) {
        for document in [Document::Configuration, Document::Roster] {
            let version = self.document_version(document);
            let holders = self.newer_holders(document, version);
            let own = &self.identity.contact.name;
            let transfer = &mut self.documents.exchange(document).transfer;
            if let Some(name) =
                transfer.choose_peer((own, version), document.fetch_delay(), holders, now)
            {
                let record =
                    LogRecord::new("document_asked").with("document", document.to_string());
                out.outputs
                    .push(Output::Log(record.with("member", name.as_str())));
                self.request_piece(&name, document, 0, out);
            }
        }
    }

    /// Returns the live members that have a document in a newer version than `version`.
    fn newer_holders(&self, document: Document, version: u64) -> Vec<Holder> {
        let holder = |member: &Member| {
            let status = member.status.as_ref()?;
            let announced = match document {
                Document::Configuration => status.configuration,
                Document::Roster => status.roster,
            };
            (announced > version).then(|| Holder {
                name: member.contact.name.clone(),
                version: announced,
                remote: member.centre != self.identity.centre,
            })
        };
        self.members.live().filter_map(holder).collect()
    }

    /// Requests the piece of a document at an offset, in bytes, from a peer.
    fn request_piece(&self, from: &Instance, document: Document, offset: u32, out: &mut Effects) {
        if let Some(member) = self.members.get(from) {
            let message = Message::Fetch { document, offset };
            out.messages.push((member.contact.clone(), message));
        }
    }

    /// Sends the requested piece of a document to a peer, or the first one if that version is gone.
    pub(super) fn send_piece(
        &mut self,
        to: &Instance,
        document: Document,
        offset: u32,
        now: Time,
        out: &mut Effects,
    ) {
        let version = self.document_version(document);
        let Some(member) = self.members.get(to).filter(|_| version > 0) else {
            return;
        };
        let contact = member.contact.clone();
        let encodings = &mut self.documents.exchange(document).encodings;
        if offset == 0 && encodings.is_outdated(document, version, now) {
            let bytes = match document {
                Document::Configuration => postcard::to_stdvec(&self.configuration),
                Document::Roster => postcard::to_stdvec(&self.roster),
            };
            encodings.set(Encoded {
                version,
                // Encoding plain data can't fail.
                bytes: bytes.unwrap_or_default(),
                since: now,
            });
        }
        let (encoded, offset) = encodings.choose(to, offset);
        let rest = encoded.bytes.get(offset as usize..);
        let Some(rest) = rest.filter(|rest| !rest.is_empty()) else {
            return;
        };
        let piece = Piece {
            document,
            version: encoded.version,
            size: encoded.bytes.len() as u32,
            offset,
            bytes: rest[..rest.len().min(MAX_PIECE_BYTES)].to_vec(),
        };
        out.messages
            .push((contact, Message::Piece(Box::new(piece))));
    }

    /// Handles a piece of a document: requests the next one, or puts the complete document in force.
    pub(super) fn on_piece(&mut self, from: &Instance, piece: Piece, now: Time, out: &mut Effects) {
        let document = piece.document;
        let transfer = &mut self.documents.exchange(document).transfer;
        let bytes = match transfer.append(from, piece, now) {
            AppendResult::Ignored => return,
            AppendResult::Next(offset) => return self.request_piece(from, document, offset, out),
            AppendResult::Complete(bytes) => bytes,
        };
        let applied = match document {
            Document::Configuration => {
                postcard::from_bytes::<Option<Configuration>>(&bytes).map(|decoded| {
                    decoded.map(|new| self.apply_configuration(new, from.as_str(), out))
                })
            }
            Document::Roster => postcard::from_bytes::<Roster>(&bytes).map(|roster| {
                let newer = roster.version > self.roster.version || !self.has_roster;
                newer.then(|| self.apply_roster(roster, now, out))
            }),
        };
        if let Err(error) = applied {
            let record = LogRecord::new("document_malformed").with("member", from.as_str());
            out.outputs
                .push(Output::Log(record.with("error", error.to_string())));
        }
    }
}
