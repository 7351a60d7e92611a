//! Just enough HTTP/1.1 to find where a message ends: the stand-ins and the clients need no more.

/// The longest message that is accepted, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// The length of a message's head with the empty line, once it is whole.
pub(super) fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Where the parts of a message are in the bytes that begin with it.
pub(super) struct Message<'a> {
    /// The lines before the body, with the empty one.
    pub(super) head: &'a str,
    /// Where the body begins, in bytes.
    pub(super) body_start: usize,
    /// Where the body ends, in bytes.
    pub(super) end: usize,
}

/// The message at the start of some bytes, once it is whole.
pub(super) fn message(bytes: &[u8]) -> Option<Message<'_>> {
    let head_end = head_end(bytes)?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let length: usize = header(head, "content-length").map_or(Some(0), |value| value.parse().ok())?;
    let end = head_end + length;
    (bytes.len() >= end).then_some(Message { head, body_start: head_end, end })
}
