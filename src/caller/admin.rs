//! The HTTP API for operators.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use hyper::{
    body::Incoming,
    header::AUTHORIZATION,
    Method,
    Request,
    StatusCode, //
};

use super::{
    error_reply,
    report_reply,
    Reply,
    Shared, //
};
use crate::{
    clock,
    core::{
        config::{
            ask::{
                Act,
                Audit,
                Edit, //
            },
            Ask, //
        },
        message::{
            Input,
            Output, //
        }, //
    },
    prelude::*,
    record, //
};

/// The request header with the id of a change, so that a retry doesn't apply it twice.
const OPERATION_HEADER: &str = "poplarknot-operation";

/// The operators by the digests of their tokens. A look-up by digest doesn't leak a token through its timing.
pub(super) struct Operators(HashMap<Digest, Operator>);

impl Operators {
    pub(super) fn new(operators: &[(Operator, String)]) -> Self {
        let digests = operators
            .iter()
            .map(|(name, token)| (Digest::of(token.as_bytes()), name.clone()));
        Self(digests.collect())
    }

    /// Returns the operator whose bearer token a request carries.
    fn authenticate(&self, request: &Request<Incoming>) -> Option<Operator> {
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let token = header.strip_prefix("Bearer ")?;
        self.0.get(&Digest::of(token.as_bytes())).cloned()
    }
}

/// A request without its body.
struct Parts {
    method: Method,
    path: Vec<String>,
    query: HashMap<String, String>,
    operation: Option<String>,
}

impl Parts {
    fn from_request(request: &Request<Incoming>) -> Self {
        let path = request.uri().path().split('/').skip(2);
        let query = request.uri().query().unwrap_or_default().split('&');
        let pairs = query.filter(|pair| !pair.is_empty()).map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (name.to_owned(), value.to_owned())
        });
        let operation = request.headers().get(OPERATION_HEADER);
        Self {
            method: request.method().clone(),
            path: path.map(str::to_owned).collect(),
            query: pairs.collect(),
            operation: operation.map(|value| String::from_utf8_lossy(value.as_bytes()).into()),
        }
    }

    /// Parses a boolean parameter; a name without a value is true.
    fn parse_flag(&self, name: &str) -> Result<bool, String> {
        match self.query.get(name).map(String::as_str) {
            None | Some("false") => Ok(false),
            Some("" | "true") => Ok(true),
            Some(other) => Err(format!("{name}: is {other:?}; give true or false")),
        }
    }

    /// Returns whether the request confirms a cut of a service's capacity.
    fn parse_confirm(&self) -> Result<bool, String> {
        match self.query.get("confirm").map(String::as_str) {
            None => Ok(false),
            Some("capacity") => Ok(true),
            Some(other) => Err(format!("confirm: is {other:?}; give capacity")),
        }
    }

    fn parse_number(&self, name: &str) -> Result<Option<u64>, String> {
        let parse = |text: &String| {
            text.parse()
                .map_err(|_| format!("{name}: is {text:?}; give a whole number"))
        };
        self.query.get(name).map(parse).transpose()
    }

    fn parse_amends(&self) -> Result<Revision, String> {
        let number = self.parse_number("amends")?;
        let missing = "amends: is missing; give the revision of the record to change";
        number.map(Revision).ok_or_else(|| missing.to_owned())
    }

    fn parse_record(&self) -> Result<record::Name, String> {
        let [_, kind, name, ..] = &self.path[..] else {
            return Err("path: give /v1/records/KIND/NAME".to_owned());
        };
        let name = format!("{kind}/{name}").parse();
        name.map_err(|fault| format!("path: {fault}"))
    }

    /// Rejects parameters that the call doesn't have.
    fn check_query(&self, known: &[&str]) -> Result<(), String> {
        match self.query.keys().find(|name| !known.contains(&&***name)) {
            Some(name) => Err(format!(
                "{name}: is not a parameter of this call; allowed: {known:?}"
            )),
            None => Ok(()),
        }
    }

    fn parse_act(&self, text: String) -> Result<Act, String> {
        Ok(match self.method {
            Method::POST => Act::Submit { text },
            Method::PUT => Act::Amend {
                name: self.parse_record()?,
                amends: self.parse_amends()?,
                text,
            },
            _ => Act::Withdraw {
                name: self.parse_record()?,
                amends: self.parse_amends()?,
            },
        })
    }

    /// Returns the change that a `POST`, `PUT` or `DELETE` asks for.
    fn parse_edit(
        &self,
        operator: Operator,
        from: SocketAddr,
        text: String,
    ) -> Result<Edit, String> {
        self.check_query(&["amends", "dry_run", "confirm"])?;
        let operation = match &self.operation {
            Some(text) => text
                .parse()
                .map_err(|fault| format!("{OPERATION_HEADER}: {fault}"))?,
            None => Operation::random(&mut rand::rng()),
        };
        Ok(Edit {
            operator,
            from: from.to_string(),
            at_ms: clock::unix_millis(),
            operation,
            dry_run: self.parse_flag("dry_run")?,
            confirmed: self.parse_confirm()?,
            act: self.parse_act(text)?,
        })
    }

    /// Returns the query that a `GET` asks for, or `None` for an unknown path.
    fn parse_query(&self) -> Result<Option<Ask>, String> {
        let path: Vec<_> = self.path.iter().map(String::as_str).collect();
        Ok(Some(match path[..] {
            ["records"] => {
                self.check_query(&["kind"])?;
                let kind = self.query.get("kind").map(|kind| kind.parse());
                Ask::List(kind.transpose().map_err(|fault| format!("kind: {fault}"))?)
            }
            ["records", _, _] => Ask::Show(self.parse_record()?),
            ["instances"] => Ask::Instances,
            ["records", _, _, "in-force"] => Ask::Rollout(self.parse_record()?),
            ["audit"] => {
                self.check_query(&["record", "from", "to", "after"])?;
                let record = self.query.get("record").map(|name| name.parse());
                Ask::Audit(Audit {
                    record: record
                        .transpose()
                        .map_err(|fault| format!("record: {fault}"))?,
                    from_ms: self.parse_number("from")?.unwrap_or_default(),
                    to_ms: self.parse_number("to")?,
                    after: self.query.get("after").cloned(),
                })
            }
            _ => return Ok(None),
        }))
    }
}

impl Shared {
    /// Answers a request of an operator.
    pub(super) async fn administer(&self, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let Some(operator) = self.operators.authenticate(&request) else {
            let detail = "authorization: give 'Bearer TOKEN' with the token of an operator";
            return error_reply(StatusCode::UNAUTHORIZED, detail);
        };
        let parts = Parts::from_request(&request);
        let path: Vec<_> = parts.path.iter().map(String::as_str).collect();
        let ask = match (&parts.method, &path[..]) {
            (&Method::GET, _) => parts.parse_query(),
            (&Method::POST, ["records"]) | (&Method::PUT | &Method::DELETE, ["records", _, _]) => {
                match self.read_body(request).await {
                    Ok(body) => match String::from_utf8(body.into()) {
                        Ok(text) => parts
                            .parse_edit(operator, from, text)
                            .map(|edit| Some(Ask::Edit(edit))),
                        Err(_) => Err("body: is not UTF-8 text".to_owned()),
                    },
                    Err(answer) => return self.reply(&answer),
                }
            }
            _ => {
                return error_reply(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "this path has no such method",
                )
            }
        };
        let ask = match ask {
            Ok(Some(ask)) => ask,
            Ok(None) => {
                return error_reply(
                    StatusCode::NOT_FOUND,
                    "there is no such path; see docs/API.md",
                )
            }
            Err(fault) => return error_reply(StatusCode::BAD_REQUEST, &fault),
        };
        match self.send_input(|request| Input::Ask { request, ask }).await {
            Some(Output::Report(_, report)) => report_reply(&report),
            _ => error_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "the instance is overloaded or has shut down; repeat a change with the same poplarknot-operation",
            ),
        }
    }
}
