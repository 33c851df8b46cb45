//! The sections and keys of a settings file.

/// The section of operators: its keys are their names.
pub const OPERATORS: &str = "operators";

/// All sections with their keys, in the order of the shipped settings file.
pub const SECTIONS: &[(&str, &[&str])] = &[
    ("instance", &["name", "data_centre"]),
    ("listen", &["callers", "peers"]),
    ("platform", &["address", "data_centres"]),
    (OPERATORS, &[]),
    (
        "limits",
        &[
            "connections",
            "headers",
            "body",
            "jobs",
            "bytes",
            "waiting",
            "outstanding",
            "kept",
            "writes",
            "ring",
        ],
    ),
    (
        "timing",
        &[
            "heartbeat",
            "silence",
            "list",
            "poll",
            "platform",
            "receive",
            "idle",
            "look",
            "kept",
            "drain",
        ],
    ),
    ("log", &["level", "file"]),
];

/// The greatest Levenshtein distance between a misspelt word and the one that is suggested for it.
const MAX_DISTANCE: usize = 3;

/// Returns the keys of a section; none if there is no such section.
pub fn section_keys(section: &str) -> Option<&'static [&'static str]> {
    let found = SECTIONS.iter().find(|(name, _)| *name == section)?;
    Some(found.1)
}

/// Returns the first section that has this key.
pub fn find_section(key: &str) -> Option<&'static str> {
    let found = SECTIONS.iter().find(|(_, keys)| keys.contains(&key))?;
    Some(found.0)
}

/// Returns the word of `words` that `word` is probably a misspelling of.
pub fn find_similar<'a>(word: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distances = words.into_iter().map(|w| (distance(word, w), w));
    let (distance, nearest) = distances.min_by_key(|(d, _)| *d)?;
    (distance <= MAX_DISTANCE && distance < nearest.len()).then_some(nearest)
}

/// Returns the Levenshtein distance between two words, in characters.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.chars().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[row.len() - 1]
}
