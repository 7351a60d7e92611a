//! Finds the markers of the generated blocks in the page, to replace the blocks or to find one that is out of date.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const BEGIN_MARKER: &str = "<!-- generated: ";
const END_MARKER: &str = "<!-- end -->";

/// Returns the page with the text between each pair of markers replaced by the block of that name. Text outside the
/// markers stays byte for byte.
///
/// # Errors
/// A marker names an unknown block, is duplicated or has no end marker, or a block has no marker in the page.
pub fn fill_blocks(page: &str, blocks: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut text = String::new();
    let mut rest = page;
    let mut seen = BTreeSet::new();
    while let Some(start) = rest.find(BEGIN_MARKER) {
        let (before, from) = rest.split_at(start);
        let (name, content) =
            from[BEGIN_MARKER.len()..].split_once(" -->").ok_or("unterminated marker: expected ` -->`")?;
        let block = blocks.get(name).ok_or_else(|| format!("marker for unknown block {name}"))?;
        if !seen.insert(name) {
            return Err(format!("block {name}: duplicate marker"));
        }
        let (_, remaining) = content
            .split_once(END_MARKER)
            .ok_or_else(|| format!("block {name}: missing end marker `{END_MARKER}`"))?;
        let _ = write!(text, "{before}{BEGIN_MARKER}{name} -->\n{}\n{END_MARKER}", block.trim_end());
        rest = remaining;
    }
    match blocks.keys().find(|name| !seen.contains(*name)) {
        Some(name) => Err(format!("block {name}: missing marker in the page")),
        None => Ok(text + rest),
    }
}

/// The name of the first block, in the order of the page, whose text differs from the generated one.
pub(super) fn first_difference(page: &str, blocks: &BTreeMap<&'static str, String>) -> Option<String> {
    page.split(BEGIN_MARKER).skip(1).find_map(|part| {
        let (name, content) = part.split_once(" -->")?;
        let (text, _) = content.split_once(END_MARKER)?;
        let same = blocks.get(name).is_some_and(|block| text.trim() == block.trim());
        (!same).then(|| name.to_owned())
    })
}
