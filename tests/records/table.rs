//! A test double of the platform's table.

use std::collections::BTreeMap;

/// The rows of the table, and the configuration at each revision, which the tests compare with that of instances.
#[derive(Default)]
pub(crate) struct Table {
    /// Versions and values by key.
    pub(crate) rows: BTreeMap<String, (u64, String)>,
    /// The texts of the records by revision.
    pub(crate) history: Vec<BTreeMap<String, String>>,
    /// The operations of the changes by revision, from the first.
    pub(crate) operations: Vec<Operation>,
}

impl Table {
    pub(crate) fn commit(&mut self, group: &Group) -> Verdict {
        let version = |key| self.rows.get(key).map_or(0, |row| row.0);
        let failed: Vec<_> = group
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .collect();
        let current = failed.iter().filter_map(|c| self.row(&c.key)).collect();
        let applied = failed.is_empty();
        if applied {
            group.writes.iter().for_each(|write| match &write.value {
                Some(value) => {
                    let row = self.rows.entry(write.key.clone()).or_default();
                    *row = (row.0 + 1, value.clone());
                }
                None => drop(self.rows.remove(&write.key)),
            });
            self.record_state();
        }
        Verdict { applied, current }
    }

    /// Records the configuration at the current revision, and checks that a change of records increments the revision.
    pub(crate) fn record_state(&mut self) {
        let head = self.head();
        let texts = self.rows.range(row::RECORD_PREFIX.to_owned()..);
        let texts = texts.take_while(|(key, _)| key.starts_with(row::RECORD_PREFIX));
        let state: BTreeMap<_, _> = texts
            .filter_map(|(key, _)| row::decode::<row::Stored>(&self.row(key)?))
            .map(|stored| (stored.name.to_string(), stored.text))
            .collect();
        self.history.resize_with(head + 1, BTreeMap::new);
        if head > self.operations.len() {
            let change = self.row(&row::change_key(Revision(head as u64))).unwrap();
            self.operations
                .push(row::decode::<row::Change>(&change).unwrap().operation);
            self.history[head] = state;
        } else {
            assert_eq!(
                state, self.history[head],
                "a record changed without a new revision"
            );
        }
    }

    /// Returns the newest revision.
    pub(crate) fn head(&self) -> usize {
        let head = self
            .row(row::HEAD_KEY)
            .and_then(|row| row::decode::<row::Head>(&row));
        head.map_or(0, |head| head.revision.0 as usize)
    }

    pub(crate) fn row(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?.clone();
        let key = key.to_owned();
        Some(Row {
            key,
            version,
            value,
        })
    }

    pub(crate) fn execute(&mut self, command: &Command) -> Completion {
        match command {
            Command::Commit(group) => Completion::Verdict(self.commit(group)),
            Command::Read(key) => Completion::Row(self.row(key)),
            Command::Scan {
                prefix,
                after,
                limit,
            } => {
                let keys = self
                    .rows
                    .keys()
                    .filter(|k| k.starts_with(prefix.as_str()) && *k > after);
                Completion::Rows(
                    keys.take(*limit as usize)
                        .filter_map(|k| self.row(k))
                        .collect(),
                )
            }
            _ => Completion::Refused,
        }
    }
}

use crate::prelude::*;
