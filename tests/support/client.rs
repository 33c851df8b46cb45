//! An HTTP client for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{
    BodyExt as _,
    Full, //
};
use hyper::{
    client::conn::http1::SendRequest,
    HeaderMap,
    Method, //
};
use hyper_util::rt::TokioIo;
use poplarknot::prelude::*;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::Result;

/// Headers of a request.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the answer to a job.
    ///
    /// # Errors
    ///
    /// Fails if the outcome header differs from the body.
    pub fn answer(&self) -> Result<Answer> {
        let answer: Answer = self.json()?;
        let header = self.header("poplarknot-outcome").unwrap_or("none");
        if header != answer.outcome.to_string() {
            return Err(format!(
                "the header has outcome {header}, the body {}",
                answer.outcome
            )
            .into());
        }
        Ok(answer)
    }
}

/// A keep-alive connection.
pub struct Client {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Sends a request and reads the whole response. A `host` header replaces the address of the server.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Bytes>,
    ) -> Result<Response> {
        let address = self.address.to_string();
        let host = headers.iter().find(|(name, _)| *name == "host");
        let host = host.map_or(address.as_str(), |(_, host)| *host);
        let headers = headers.iter().filter(|(name, _)| *name != "host");
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.sender.ready().await?;
        let response = self
            .sender
            .send_request(request.body(Full::new(body.into()))?);
        let (head, body) = response.await?.into_parts();
        Ok(Response {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Sends a `POST` with a JSON body.
    pub async fn post(
        &mut self,
        path: &str,
        headers: Headers<'_>,
        json: &impl serde::Serialize,
    ) -> Result<Response> {
        let body = serde_json::to_vec(json)?;
        self.send(Method::POST, path, headers, body).await
    }

    /// Sends a `GET`.
    pub async fn get(&mut self, path: &str) -> Result<Response> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }
}

/// Sends a `POST` with a JSON body over a new connection.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: Headers<'_>,
    json: &impl serde::Serialize,
) -> Result<Response> {
    Client::connect(address)
        .await?
        .post(path, headers, json)
        .await
}

/// Sends a `GET` over a new connection.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response> {
    Client::connect(address).await?.get(path).await
}

/// Sends a `DELETE` over a new connection.
pub async fn delete(address: SocketAddr, path: &str, headers: Headers<'_>) -> Result<Response> {
    let mut client = Client::connect(address).await?;
    client
        .send(Method::DELETE, path, headers, Bytes::new())
        .await
}
