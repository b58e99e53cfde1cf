//! Encoding of a segment: a header followed by records. Numbers are little-endian.
//!
//! Header: `PPKLLOG` and the format version (u8). Record: payload length (u32), CRC-32 over the length and everything
//! after the checksum (u32), sequence number (u64, consecutive from 1), kind (u8), payload.

/// The format version that is written. This version and older ones can be read.
pub const FORMAT_VERSION: u8 = 1;
/// Length of a segment's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 8;
/// Maximum length of a payload, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 16 << 20;
/// The first bytes of every segment.
const MAGIC: &[u8; 7] = b"PPKLLOG";
/// Length of the fields before a record's payload, in bytes.
const FRAME_BYTES: usize = 17;

/// The origin of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// Appended through [`super::DurableLog::append`].
    Appended = 0,
    /// Written by the compaction that created this segment.
    Compacted = 1,
    /// Marks the end of the compacted records.
    CompactionEnd = 2,
}

/// A decoded record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub sequence: u64,
    pub kind: RecordKind,
    pub payload: &'a [u8],
    /// Length in bytes, including the frame.
    pub size: usize,
}

/// The header of a segment in the current format.
pub(crate) fn header() -> [u8; HEADER_BYTES] {
    let mut header = [FORMAT_VERSION; HEADER_BYTES];
    header[..MAGIC.len()].copy_from_slice(MAGIC);
    header
}

/// The format version of a segment; `None` if the bytes do not start with a segment header.
pub(crate) fn format_version(bytes: &[u8]) -> Option<u8> {
    let has_header = bytes.len() >= HEADER_BYTES && bytes.starts_with(MAGIC);
    has_header.then(|| bytes[MAGIC.len()])
}

/// Appends an encoded record to a buffer.
pub(crate) fn encode(buffer: &mut Vec<u8>, sequence: u64, kind: RecordKind, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    let sequence = sequence.to_le_bytes();
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&length);
    checksum.update(&sequence);
    checksum.update(&[kind as u8]);
    checksum.update(payload);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&checksum.finalize().to_le_bytes());
    buffer.extend_from_slice(&sequence);
    buffer.push(kind as u8);
    buffer.extend_from_slice(payload);
}

/// Decodes the record at the start of the bytes; `None` if it is incomplete or its checksum does not match.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let expected_checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let sequence = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?);
    let kind = match bytes.get(16)? {
        0 => RecordKind::Appended,
        1 => RecordKind::Compacted,
        2 => RecordKind::CompactionEnd,
        _ => return None,
    };
    if length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let size = FRAME_BYTES + length;
    let payload = bytes.get(FRAME_BYTES..size)?;
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&bytes[..4]);
    checksum.update(&bytes[8..size]);
    if checksum.finalize() != expected_checksum {
        return None;
    }
    Some(Record {
        sequence,
        kind,
        payload,
        size,
    })
}
