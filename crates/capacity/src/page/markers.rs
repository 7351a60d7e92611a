//! The markers of the generated blocks: fills the page's blocks in and finds a block that differs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const BEGIN: &str = "<!-- generated: ";
const END: &str = "<!-- end -->";

/// The page with its blocks filled in; text outside the markers stays to the byte.
///
/// # Errors
/// A marker names no block, comes twice or has no end; a block has no marker.
pub fn filled(page: &str, blocks: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut text = String::new();
    let mut rest = page;
    let mut seen = BTreeSet::new();
    while let Some(start) = rest.find(BEGIN) {
        let (before, from) = rest.split_at(start);
        let (name, inside) =
            from[BEGIN.len()..].split_once(" -->").ok_or("a marker without its end: expected ` -->`")?;
        let block = blocks.get(name).ok_or_else(|| format!("no block is named {name}"))?;
        if !seen.insert(name) {
            return Err(format!("block {name}: a second marker"));
        }
        let (_, behind) = inside.split_once(END).ok_or_else(|| format!("block {name}: no `{END}`"))?;
        let _ = write!(text, "{before}{BEGIN}{name} -->\n{}\n{END}", block.trim_end());
        rest = behind;
    }
    match blocks.keys().find(|name| !seen.contains(*name)) {
        Some(name) => Err(format!("block {name}: no marker")),
        None => Ok(text + rest),
    }
}

/// The first block, in the order of the page, whose text is not as it should be.
pub(super) fn first_difference(page: &str, blocks: &BTreeMap<&'static str, String>) -> Option<String> {
    page.split(BEGIN).skip(1).find_map(|part| {
        let (name, inside) = part.split_once(" -->")?;
        let (text, _) = inside.split_once(END)?;
        let same = blocks.get(name).is_some_and(|block| text.trim() == block.trim());
        (!same).then(|| name.to_owned())
    })
}
