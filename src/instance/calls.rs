//! Calls to endpoints, over connections that are kept.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    header::{
        HeaderName,
        HeaderValue, //
    },
    Method, //
};
use tokio::{
    task::spawn_local,
    time::timeout, //
};

use super::hub::{
    now,
    Hub, //
};
use crate::{
    dispatch::message::{
        Input,
        Order,
        Output,
        Reply, //
    },
    http::{
        self,
        Failure,
        Pool, //
    },
    platform::order,
    prelude::*,
};

/// How long an idle connection to an endpoint is used: one that went silent costs the patience of one order,
/// and a new one costs the endpoint and the instance more than that in processor time.
const TRUST: Duration = Duration::from_secs(30);

/// Connections to endpoints.
pub struct Calls {
    pool: RefCell<Pool>,
}

impl Calls {
    /// Makes an empty pool of connections.
    pub fn new() -> Self {
        Self {
            pool: RefCell::new(Pool::new(TRUST)),
        }
    }

    /// Begins a call; its answer goes to the dispatcher.
    pub fn begin(&self, hub: &Rc<Hub>, output: Output) {
        let Output::Call {
            call,
            endpoint,
            address,
            order,
            timeout: patience,
            fresh,
        } = output
        else {
            return;
        };
        let hub = hub.clone();
        spawn_local(async move {
            let sent = now();
            let attempt = exchange(&hub, &endpoint, &address, &order, fresh);
            let reply = timeout(patience.duration(), attempt).await;
            let reply = reply.unwrap_or(Reply::Silent);
            hub.gauges.call(&order, &reply, now().since(sent));
            hub.feed(Input::EndpointReplied { call, sent, reply });
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn forget(&self, address: &str) {
        self.pool.borrow_mut().remove(address);
    }
}

impl Default for Calls {
    fn default() -> Self {
        Self::new()
    }
}

async fn exchange(
    hub: &Hub,
    endpoint: &Endpoint,
    address: &str,
    order: &Order,
    fresh: bool,
) -> Reply {
    let idle = match fresh {
        true => {
            hub.calls.forget(address);
            None
        }
        false => hub.calls.pool.borrow_mut().take(address),
    };
    if idle.is_none() {
        hub.gauges.connected();
    }
    let (path, body) = order::write(order);
    let mut request = http::build_json_request(Method::POST, address, path, Bytes::from(body));
    let headers = request.headers_mut();
    if let Ok(expected) = HeaderValue::from_str(endpoint.as_str()) {
        headers.insert(HeaderName::from_static(order::EXPECTED), expected);
    }
    match http::exchange(idle, address, request).await {
        Ok((reply, connection)) => {
            hub.calls.pool.borrow_mut().put(address, connection);
            order::read(order, reply.status.as_u16(), &reply.body)
        }
        Err(Failure::Unsent(_)) => Reply::Unsent,
        Err(Failure::Broken(_)) => Reply::Silent,
    }
}
