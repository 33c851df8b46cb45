//! The events in the code and the table in `docs/EVENTS.md` must agree.

use std::collections::BTreeSet;

use poplarknot::event::{
    Code,
    Event, //
};

const EVENTS_PAGE: &str = include_str!("../docs/EVENTS.md");

/// A row of the table.
struct Row {
    number: String,
    level: String,
    title: String,
    /// The cells with the meaning of the event and what an operator does about it.
    guidance: Vec<String>,
}

fn parse_rows() -> Vec<Row> {
    let lines = EVENTS_PAGE.lines().filter(|line| line.starts_with("| E"));
    lines
        .map(|line| {
            let mut cells = line
                .trim_matches('|')
                .split('|')
                .map(|c| c.trim().to_owned());
            let mut cell = || cells.next().unwrap_or_default();
            Row {
                number: cell(),
                level: cell(),
                title: cell(),
                guidance: cells.collect(),
            }
        })
        .collect()
}

fn format_number(code: Code) -> String {
    format!("E{:03}", code.number())
}

/// Operators look events up by number: two events with one number couldn't be told apart.
#[test]
fn numbers_are_unique_and_in_order() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let sorted: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers, sorted.into_iter().collect::<Vec<_>>());
}

/// An operator must find each logged event in the documentation, with the title and level that the log shows.
#[test]
fn every_event_is_in_the_catalogue() {
    let rows = parse_rows();
    for code in Code::ALL {
        let row = rows.iter().find(|row| row.number == format_number(*code));
        let row = row.unwrap_or_else(|| panic!("{} is missing", format_number(*code)));
        assert_eq!(row.title, code.title(), "{}", row.number);
        let level = code.level().to_string().to_lowercase();
        assert_eq!(row.level, level, "{}", row.number);
    }
}

/// The documentation must not describe an event that was removed.
#[test]
fn every_row_of_the_catalogue_is_an_event() {
    let numbers: Vec<String> = parse_rows().into_iter().map(|row| row.number).collect();
    let events: Vec<String> = Code::ALL.iter().map(|code| format_number(*code)).collect();
    assert_eq!(numbers, events);
}

/// A documented event without an action leaves the operator with nothing to do about it.
#[test]
fn every_row_has_a_meaning_and_an_action() {
    for row in parse_rows() {
        let filled = row.guidance.iter().filter(|cell| !cell.is_empty()).count();
        assert_eq!((row.guidance.len(), filled), (2, 2), "{}", row.number);
    }
}

/// Log filters match on the number at the beginning of the text.
#[test]
fn a_line_of_the_log_begins_with_the_number() {
    let event = Event::new(Code::PeerLost, "entry-2");
    assert_eq!(event.to_string(), "E030 peer can't be reached: entry-2");
}
