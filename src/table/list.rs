//! Polls the platform's list of instances and endpoints, per data centre where the settings name some.

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
    Client, //
};
use crate::{
    core::message::Input,
    http,
    metrics::Message,
    prelude::*, //
};

/// One part of the list, as last read.
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

/// Returns the parts to read: the whole list, or one part for each data centre.
fn list_parts(centres: &[Centre]) -> Vec<Part> {
    if centres.is_empty() {
        return vec![Part::new("/instances".to_owned())];
    }
    let path = |centre: &Centre| Part::new(format!("/instances?data_centre={centre}"));
    centres.iter().map(path).collect()
}

impl Client {
    /// Polls the list every `period` and sends it to the core.
    ///
    /// An `if-none-match` header avoids transferring an unchanged part, which bounds the control traffic of an
    /// instance: a list may have 22,000 endpoints.
    pub(super) async fn read_lists(self: Arc<Self>, centres: Vec<Centre>, period: Span) {
        let mut parts = list_parts(&centres);
        let mut merged: Option<Arc<List>> = None;
        loop {
            let mut changed = false;
            let mut any_read = false;
            for part in &mut parts {
                if let Some(part_changed) = self.read_part(part).await {
                    any_read = true;
                    changed |= part_changed;
                }
            }
            if changed || merged.is_none() && any_read {
                merged = Some(Arc::new(merge(&parts)));
            }
            if let (Some(list), true) = (&merged, any_read) {
                self.inputs.send(Input::Listed(list.clone())).await;
            }
            sleep(period.duration()).await;
        }
    }

    /// Reads one part and returns whether it has changed; none if it can't be read.
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

/// Merges the parts. Each of them has all instances, so those of the last one are taken.
fn merge(parts: &[Part]) -> List {
    let mut merged = List::default();
    for part in parts {
        merged.instances.clone_from(&part.list.instances);
        merged.endpoints.extend_from_slice(&part.list.endpoints);
    }
    merged
}
