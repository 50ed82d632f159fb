//! Compression of lists that nodes send to one another. Their entries are much alike, links are
//! slow, and traffic between data centres is expensive.

use std::io::{Error, ErrorKind, Read, Result, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a decompressed list.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses bytes. Fails if they are malformed or exceed the maximum size.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_DECOMPRESSED_BYTES + 1);
    decoder.read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(Error::new(
            ErrorKind::InvalidData,
            "decompressed data is too long",
        ));
    }
    Ok(bytes)
}
