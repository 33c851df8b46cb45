//! Sends orders to endpoints over pooled connections.

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
use tokio::task::spawn_local;

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
    timeout::within, //
};

/// How long a connection to an endpoint may be idle and still be reused. A connection that has silently failed costs
/// the timeout of one order, but a new connection for each order would cost the endpoint and the instance more processor
/// time.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A client of the endpoints, with a pool of connections.
pub struct EndpointClient {
    pool: RefCell<Pool>,
}

impl EndpointClient {
    /// Creates a client with no connections.
    pub fn new() -> Self {
        Self {
            pool: RefCell::new(Pool::new(MAX_IDLE)),
        }
    }

    /// Starts a call in a task of its own, which passes the reply to the dispatcher. Ignores any output but
    /// [`Output::Call`].
    pub fn start_call(&self, hub: &Rc<Hub>, output: Output) {
        let Output::Call {
            call,
            endpoint,
            address,
            order,
            timeout: time_limit,
            new_connection,
        } = output
        else {
            return;
        };
        let hub = hub.clone();
        spawn_local(async move {
            let sent = now();
            let attempt = send_order(&hub, &endpoint, &address, &order, new_connection);
            let reply = within(time_limit.duration(), attempt).await;
            let reply = reply.unwrap_or(Reply::Silent);
            hub.metrics.count_call(&order, &reply, now().since(sent));
            hub.handle(Input::EndpointReplied { call, sent, reply });
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, address: &str) {
        self.pool.borrow_mut().close_idle(address);
    }
}

impl Default for EndpointClient {
    fn default() -> Self {
        Self::new()
    }
}

async fn send_order(
    hub: &Hub,
    endpoint: &Endpoint,
    address: &str,
    order: &Order,
    new_connection: bool,
) -> Reply {
    let idle = match new_connection {
        true => {
            hub.endpoints.close_idle(address);
            None
        }
        false => hub.endpoints.pool.borrow_mut().take_idle(address),
    };
    if idle.is_none() {
        hub.metrics.count_connection();
    }
    let (path, body) = order::encode(order);
    let mut request = http::build_json_request(Method::POST, address, path, Bytes::from(body));
    let headers = request.headers_mut();
    if let Ok(expected) = HeaderValue::from_str(endpoint.as_str()) {
        headers.insert(HeaderName::from_static(order::EXPECTED_HEADER), expected);
    }
    match http::exchange(idle, address, request).await {
        Ok((reply, connection)) => {
            hub.endpoints.pool.borrow_mut().put(address, connection);
            order::decode(order, reply.status.as_u16(), &reply.body)
        }
        Err(Failure::Unsent(_)) => Reply::Unsent,
        Err(Failure::Broken(_)) => Reply::Silent,
    }
}
