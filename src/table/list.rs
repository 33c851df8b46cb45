//! The platform's list, read again and again, in parts where the settings name data centres.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    header::IF_NONE_MATCH,
    Method,
    StatusCode, //
};
use tokio::time::sleep;

use super::{
    wire::List,
    Link, //
};
use crate::{
    core::message::Input,
    http,
    metrics::Message,
    prelude::*, //
};

/// What was read of one part of the list.
struct Part {
    path: String,
    etag: Option<String>,
    list: List,
}

impl Part {
    fn new(path: String) -> Self {
        Self {
            path,
            etag: None,
            list: List::default(),
        }
    }
}

/// Returns the parts of the list: all of it, or the endpoints of each data centre apart.
fn parts(centres: &[Centre]) -> Vec<Part> {
    if centres.is_empty() {
        return vec![Part::new("/instances".to_owned())];
    }
    let path = |centre: &Centre| Part::new(format!("/instances?data_centre={centre}"));
    centres.iter().map(path).collect()
}

impl Link {
    /// Reads the list every `period` and hands on what it tells.
    ///
    /// A part that hasn't changed is not sent again, which is what keeps 22,000 endpoints within the bytes that an
    /// instance may use for control.
    pub(super) async fn read_lists(self: Arc<Self>, centres: Vec<Centre>, period: Span) {
        let mut parts = parts(&centres);
        let mut whole: Option<Arc<List>> = None;
        loop {
            let mut changed = false;
            let mut heard = false;
            for part in &mut parts {
                if let Some(news) = self.read_part(part).await {
                    heard = true;
                    changed |= news;
                }
            }
            if changed || whole.is_none() && heard {
                whole = Some(Arc::new(merge(&parts)));
            }
            if let (Some(list), true) = (&whole, heard) {
                self.back.send(Input::Listed(list.clone())).await;
            }
            sleep(period.duration()).await;
        }
    }

    /// Reads one part; tells whether it has changed, or nothing where it can't be read.
    async fn read_part(&self, part: &mut Part) -> Option<bool> {
        self.metrics.count_message(Message::ListRead);
        let mut request = http::build_request(Method::GET, &self.address, &part.path, Bytes::new());
        if let Some(etag) = part.etag.as_ref().and_then(|etag| etag.parse().ok()) {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        let reply = self.send_request(request).await.ok()?;
        match reply.status {
            StatusCode::NOT_MODIFIED => Some(false),
            StatusCode::OK => {
                let list: List = serde_json::from_slice(&reply.body).ok()?;
                part.etag = reply.etag;
                let changed = list != part.list;
                part.list = list;
                Some(changed)
            }
            _ => None,
        }
    }
}

/// Puts the parts together. Each of them has all instances, so those of the last one count.
fn merge(parts: &[Part]) -> List {
    let mut whole = List::default();
    for part in parts {
        whole.instances.clone_from(&part.list.instances);
        whole.endpoints.extend_from_slice(&part.list.endpoints);
    }
    whole
}
