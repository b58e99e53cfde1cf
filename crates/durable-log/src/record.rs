//! Bytes of a segment: a head, then records. Numbers are little-endian.
//!
//! Head: `PPKLLOG` and one byte of format version. Record: length of the payload (u32), CRC-32 of all that follows it
//! and of the length (u32), number (u64, from 1, one higher each time), kind (u8), payload.

/// The format that this program writes; it reads this one and older ones.
pub const FORMAT: u8 = 1;
/// The head's length.
pub(crate) const HEAD: usize = 8;
const MAGIC: &[u8; 7] = b"PPKLLOG";
const FRAME: usize = 17;
/// The longest payload.
pub(crate) const MOST: usize = 16 << 20;

/// What a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// One that was appended.
    Entry = 0,
    /// One of the entries that a compaction kept.
    Kept = 1,
    /// All that a compaction kept stands before this.
    Complete = 2,
}

/// A record as found.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub number: u64,
    pub kind: Kind,
    pub payload: &'a [u8],
    /// Its whole length with the frame.
    pub size: usize,
}

pub(crate) fn head() -> [u8; HEAD] {
    let mut head = [FORMAT; HEAD];
    head[..7].copy_from_slice(MAGIC);
    head
}

/// The format of a segment; None where this is no segment.
pub(crate) fn format(bytes: &[u8]) -> Option<u8> {
    (bytes.len() >= HEAD && bytes.starts_with(MAGIC)).then(|| bytes[7])
}

pub(crate) fn write(out: &mut Vec<u8>, number: u64, kind: Kind, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    let mut sum = crc32fast::Hasher::new();
    let number = number.to_le_bytes();
    [&length[..], &number, &[kind as u8], payload]
        .into_iter()
        .for_each(|part| sum.update(part));
    out.extend_from_slice(&length);
    out.extend_from_slice(&sum.finalize().to_le_bytes());
    out.extend_from_slice(&number);
    out.push(kind as u8);
    out.extend_from_slice(payload);
}

/// The record at the beginning of these bytes, if there is a whole and sound one.
pub(crate) fn read(bytes: &[u8]) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let stated = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let number = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?);
    let kind = match bytes.get(16)? {
        0 => Kind::Entry,
        1 => Kind::Kept,
        2 => Kind::Complete,
        _ => return None,
    };
    if length > MOST {
        return None;
    }
    let payload = bytes.get(FRAME..FRAME + length)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..4]);
    sum.update(&bytes[8..FRAME + length]);
    (sum.finalize() == stated).then_some(Record {
        number,
        kind,
        payload,
        size: FRAME + length,
    })
}
