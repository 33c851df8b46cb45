//! The sections and keys of a settings file.

/// The section whose keys are the names of operators.
pub const OPERATORS: &str = "operators";

/// Every section with its keys, in the order of the shipped file.
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

/// The most edits between a misspelt word and the one that is suggested for it.
const FURTHEST: usize = 3;

/// Returns the keys of a section, none where there is no such section.
pub fn of(section: &str) -> Option<&'static [&'static str]> {
    let found = SECTIONS.iter().find(|(name, _)| *name == section)?;
    Some(found.1)
}

/// Returns the section that has this key.
pub fn home(key: &str) -> Option<&'static str> {
    let found = SECTIONS.iter().find(|(_, keys)| keys.contains(&key))?;
    Some(found.0)
}

/// Returns the word of `words` that is nearest to `word`, where one is near.
pub fn nearest<'a>(word: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distances = words.into_iter().map(|w| (distance(word, w), w));
    let (distance, nearest) = distances.min_by_key(|(d, _)| *d)?;
    (distance <= FURTHEST && distance < nearest.len()).then_some(nearest)
}

/// Returns the Levenshtein distance between two words.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.chars().enumerate() {
            let replaced = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = replaced.min(corner + 1).min(row[j] + 1);
        }
    }
    row[row.len() - 1]
}
