//! Checks that files, items and terms named in the documentation exist in the repository.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders of the repository that a page may name by a path from the root.
const TOP_FOLDERS: [&str; 7] = [
    "benches", "crates", "deploy", "docs", "journal", "src", "tests",
];
/// Keywords that precede the name of an item in its definition.
const DEFINITIONS: [&str; 8] = [
    "fn ", "struct ", "enum ", "trait ", "const ", "type ", "mod ", "static ",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The pages to check. The change log and the incident reports are left out, because they describe past states of the code.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for entry in fs::read_dir(root().join("docs")).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
    pages.sort();
    pages
}

/// The code spans of a page, each with the text up to the next span. Skips indented blocks and the fence lines of fenced
/// blocks.
fn code_spans(page: &str) -> Vec<(String, String)> {
    let prose: Vec<&str> = page
        .lines()
        .filter(|line| !line.starts_with("    ") && !line.starts_with("```"))
        .collect();
    let prose = prose.join(" ");
    let parts: Vec<&str> = prose.split('`').collect();
    parts
        .chunks(2)
        .skip(1)
        .zip(parts.chunks(2))
        .map(|(after, span)| {
            let code = span.get(1).copied().unwrap_or_default();
            (String::from(code), String::from(after[0]))
        })
        .collect()
}

/// Whether a code span is a literal path from the root.
fn is_path(code: &str) -> bool {
    let is_in_top_folder = TOP_FOLDERS.iter().any(|folder| {
        code.strip_prefix(folder)
            .is_some_and(|rest| rest.starts_with('/'))
    });
    let is_literal = code
        .chars()
        .all(|character| character.is_ascii_alphanumeric() || "/._-".contains(character));
    is_in_top_folder && is_literal
}

/// The items that a page lists in parentheses after a file, as in "`FILE` (`item`, `item`)".
fn items_after(spans: &[(String, String)], file_index: usize) -> Vec<&str> {
    let mut items = Vec::new();
    let mut text = spans[file_index].1.as_str();
    let mut opening = " (";
    for (code, text_after) in &spans[file_index + 1..] {
        if text != opening {
            break;
        }
        items.push(code.as_str());
        text = text_after.as_str();
        opening = ", ";
    }
    items
}

fn source_defines(source: &str, item: &str) -> bool {
    let name = item.rsplit("::").next().unwrap();
    DEFINITIONS.iter().any(|definition| {
        let start = format!("{definition}{name}");
        source.match_indices(&start).any(|(at, _)| {
            let after = source[at + start.len()..].chars().next();
            !after.is_some_and(|character| character.is_alphanumeric() || character == '_')
        })
    })
}

/// All words of the Rust sources under `src` and `crates`.
fn words_of_sources() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    let mut folders = vec![root().join("src"), root().join("crates")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let source = fs::read_to_string(&path).unwrap();
                let separators = |character: char| !character.is_alphanumeric() && character != '_';
                words.extend(source.split(separators).map(String::from));
            }
        }
    }
    words
}

#[test]
fn pages_name_paths_that_exist() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for (code, _) in code_spans(&text) {
            if is_path(&code) && !root().join(&code).exists() {
                missing.push(format!("{}: {code}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn pages_name_items_that_exist_in_their_files() {
    let mut missing = Vec::new();
    let mut checked_count = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let spans = code_spans(&text);
        for (index, (file, _)) in spans.iter().enumerate() {
            if !is_path(file) || !file.ends_with(".rs") {
                continue;
            }
            let source = fs::read_to_string(root().join(file)).unwrap_or_default();
            for item in items_after(&spans, index) {
                checked_count += 1;
                if !source_defines(&source, item) {
                    missing.push(format!("{}: {file} ({item})", page.display()));
                }
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(checked_count > 20, "only {checked_count} items were found");
}

#[test]
fn glossary_names_terms_of_the_code() {
    let glossary = fs::read_to_string(root().join("docs/glossary.md")).unwrap();
    let words = words_of_sources();
    let mut missing = Vec::new();
    let mut checked_count = 0;
    for row in glossary.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = row.split('|').collect();
        if cells.len() != 6 {
            continue;
        }
        for (code, _) in code_spans(&format!("{} ", cells[3])) {
            for word in code.split("::") {
                checked_count += 1;
                if !word.is_empty() && !words.contains(word) {
                    missing.push(String::from(word));
                }
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(checked_count > 60, "only {checked_count} terms were found");
}
