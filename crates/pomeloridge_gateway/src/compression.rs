//! Lists between nodes in less room: their entries are alike, links are small, and bytes
//! between data centres are dear.

use std::io::{Error, ErrorKind, Read, Result, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Bytes that a packed list may come to.
const UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// Packs bytes.
pub fn compress(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Unpacks bytes; fails if they can't be read or come to too many.
pub fn decompress(packed: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(UNPACKED_BYTES + 1);
    decoder.read_to_end(&mut bytes)?;
    if bytes.len() as u64 > UNPACKED_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "too long when unpacked"));
    }
    Ok(bytes)
}
