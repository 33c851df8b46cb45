//! The events of the code and their catalogue agree.

use std::collections::BTreeSet;

use poplarknot::event::{
    Code,
    Event, //
};

const CATALOGUE: &str = include_str!("../docs/EVENTS.md");

/// A line of the catalogue: number, level and title, and what follows.
struct Line {
    number: String,
    level: String,
    title: String,
    rest: Vec<String>,
}

fn catalogue() -> Vec<Line> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| E"));
    rows.map(|row| {
        let mut cells = row
            .trim_matches('|')
            .split('|')
            .map(|c| c.trim().to_owned());
        let mut cell = || cells.next().unwrap_or_default();
        Line {
            number: cell(),
            level: cell(),
            title: cell(),
            rest: cells.collect(),
        }
    })
    .collect()
}

fn number(code: Code) -> String {
    format!("E{:03}", code.number())
}

#[test]
fn numbers_are_unique_and_in_order() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let sorted: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers, sorted.into_iter().collect::<Vec<_>>());
}

#[test]
fn every_event_is_in_the_catalogue() {
    let lines = catalogue();
    for code in Code::ALL {
        let line = lines.iter().find(|line| line.number == number(*code));
        let line = line.unwrap_or_else(|| panic!("{} is missing", number(*code)));
        assert_eq!(line.title, code.title(), "{}", line.number);
        let level = code.level().to_string().to_lowercase();
        assert_eq!(line.level, level, "{}", line.number);
    }
}

#[test]
fn every_line_of_the_catalogue_is_an_event() {
    let numbers: Vec<String> = catalogue().into_iter().map(|line| line.number).collect();
    let events: Vec<String> = Code::ALL.iter().map(|code| number(*code)).collect();
    assert_eq!(numbers, events);
}

#[test]
fn every_line_says_what_it_means_and_what_to_do() {
    for line in catalogue() {
        let filled = line.rest.iter().filter(|cell| !cell.is_empty()).count();
        assert_eq!((line.rest.len(), filled), (2, 2), "{}", line.number);
    }
}

#[test]
fn a_line_of_the_log_begins_with_the_number() {
    let event = Event::new(Code::PeerLost, "entry-2");
    assert_eq!(event.to_string(), "E030 peer can't be reached: entry-2");
}
