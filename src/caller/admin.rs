//! The administration API over HTTP.

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
    problem,
    report,
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
        },
    },
    prelude::*,
    record,
};

/// The header that names a change, so that a repeated request is one change.
const OPERATION: &str = "poplarknot-operation";

/// The operators, by the digests of their tokens; a look-up by digest tells nothing of a token by its time.
pub(super) struct Operators(HashMap<Digest, Operator>);

impl Operators {
    pub(super) fn new(operators: &[(Operator, String)]) -> Self {
        let digests = operators
            .iter()
            .map(|(name, token)| (Digest::of(token.as_bytes()), name.clone()));
        Self(digests.collect())
    }

    fn find(&self, request: &Request<Incoming>) -> Option<Operator> {
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let token = header.strip_prefix("Bearer ")?;
        self.0.get(&Digest::of(token.as_bytes())).cloned()
    }
}

/// What a request to the administration API says beside its body.
struct Parts {
    method: Method,
    path: Vec<String>,
    query: HashMap<String, String>,
    operation: Option<String>,
}

impl Parts {
    fn of(request: &Request<Incoming>) -> Self {
        let path = request.uri().path().split('/').skip(2);
        let query = request.uri().query().unwrap_or_default().split('&');
        let pairs = query.filter(|pair| !pair.is_empty()).map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (name.to_owned(), value.to_owned())
        });
        let operation = request.headers().get(OPERATION);
        Self {
            method: request.method().clone(),
            path: path.map(str::to_owned).collect(),
            query: pairs.collect(),
            operation: operation.map(|value| String::from_utf8_lossy(value.as_bytes()).into()),
        }
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.query.get(name).map(String::as_str) {
            None | Some("false") => Ok(false),
            Some("" | "true") => Ok(true),
            Some(other) => Err(format!("{name}: is {other:?}; give true or false")),
        }
    }

    fn confirmed(&self) -> Result<bool, String> {
        match self.query.get("confirm").map(String::as_str) {
            None => Ok(false),
            Some("capacity") => Ok(true),
            Some(other) => Err(format!("confirm: is {other:?}; give capacity")),
        }
    }

    fn number(&self, name: &str) -> Result<Option<u64>, String> {
        let parse = |text: &String| {
            text.parse()
                .map_err(|_| format!("{name}: is {text:?}; give a whole number"))
        };
        self.query.get(name).map(parse).transpose()
    }

    fn amends(&self) -> Result<Revision, String> {
        let number = self.number("amends")?;
        let missing = "amends: is missing; give the revision of the record that you have seen";
        number.map(Revision).ok_or_else(|| missing.to_owned())
    }

    fn record(&self) -> Result<record::Name, String> {
        let [_, kind, name, ..] = &self.path[..] else {
            return Err("path: give /v1/records/KIND/NAME".to_owned());
        };
        let name = format!("{kind}/{name}").parse();
        name.map_err(|fault| format!("path: {fault}"))
    }

    fn check_query(&self, known: &[&str]) -> Result<(), String> {
        match self.query.keys().find(|name| !known.contains(&&***name)) {
            Some(name) => Err(format!(
                "{name}: is no parameter of this call; known: {known:?}"
            )),
            None => Ok(()),
        }
    }

    fn act(&self, text: String) -> Result<Act, String> {
        Ok(match self.method {
            Method::POST => Act::Submit { text },
            Method::PUT => Act::Amend {
                name: self.record()?,
                amends: self.amends()?,
                text,
            },
            _ => Act::Withdraw {
                name: self.record()?,
                amends: self.amends()?,
            },
        })
    }

    fn edit(&self, operator: Operator, from: SocketAddr, text: String) -> Result<Edit, String> {
        self.check_query(&["amends", "dry_run", "confirm"])?;
        let operation = match &self.operation {
            Some(text) => text
                .parse()
                .map_err(|fault| format!("{OPERATION}: {fault}"))?,
            None => Operation::random(&mut rand::rng()),
        };
        Ok(Edit {
            operator,
            from: from.to_string(),
            at_ms: clock::unix_millis(),
            operation,
            dry_run: self.flag("dry_run")?,
            confirmed: self.confirmed()?,
            act: self.act(text)?,
        })
    }

    /// Returns the question that a `GET` asks; none where there is no such path.
    fn question(&self) -> Result<Option<Ask>, String> {
        let path: Vec<_> = self.path.iter().map(String::as_str).collect();
        Ok(Some(match path[..] {
            ["records"] => {
                self.check_query(&["kind"])?;
                let kind = self.query.get("kind").map(|kind| kind.parse());
                Ask::List(kind.transpose().map_err(|fault| format!("kind: {fault}"))?)
            }
            ["records", _, _] => Ask::Show(self.record()?),
            ["instances"] => Ask::Instances,
            ["records", _, _, "in-force"] => Ask::Rollout(self.record()?),
            ["audit"] => {
                self.check_query(&["record", "from", "to", "after"])?;
                let record = self.query.get("record").map(|name| name.parse());
                Ask::Audit(Audit {
                    record: record
                        .transpose()
                        .map_err(|fault| format!("record: {fault}"))?,
                    from_ms: self.number("from")?.unwrap_or_default(),
                    to_ms: self.number("to")?,
                    after: self.query.get("after").cloned(),
                })
            }
            _ => return Ok(None),
        }))
    }
}

impl Shared {
    pub(super) async fn administer(&self, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let Some(operator) = self.operators.find(&request) else {
            let detail = "authorization: give 'Bearer TOKEN' with the token of an operator";
            return problem(StatusCode::UNAUTHORIZED, detail);
        };
        let parts = Parts::of(&request);
        let path: Vec<_> = parts.path.iter().map(String::as_str).collect();
        let ask = match (&parts.method, &path[..]) {
            (&Method::GET, _) => parts.question(),
            (&Method::POST, ["records"]) | (&Method::PUT | &Method::DELETE, ["records", _, _]) => {
                match self.body(request).await {
                    Ok(body) => match String::from_utf8(body.into()) {
                        Ok(text) => parts
                            .edit(operator, from, text)
                            .map(|edit| Some(Ask::Edit(edit))),
                        Err(_) => Err("body: is not UTF-8 text".to_owned()),
                    },
                    Err(answer) => return self.reply(&answer),
                }
            }
            _ => {
                return problem(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "this path has no such method",
                )
            }
        };
        let ask = match ask {
            Ok(Some(ask)) => ask,
            Ok(None) => {
                return problem(
                    StatusCode::NOT_FOUND,
                    "there is no such path; see docs/API.md",
                )
            }
            Err(fault) => return problem(StatusCode::BAD_REQUEST, &fault),
        };
        match self.ask(|request| Input::Ask { request, ask }).await {
            Some(Output::Report(_, answer)) => report(&answer),
            _ => problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "the instance has no room; nothing took effect",
            ),
        }
    }
}
