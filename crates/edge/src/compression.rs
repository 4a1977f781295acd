//! Compression of what is too long for a message between hosts.

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use std::io::{self, Read, Write};

/// Compresses bytes.
///
/// # Errors
///
/// Fails if the encoder does.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses bytes, up to `limit` of them.
///
/// # Errors
///
/// Fails if the bytes were not compressed by [`compress`], or if the result is longer.
pub(crate) fn decompress(compressed: &[u8], limit: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = ZlibDecoder::new(compressed);
    let read = decoder.take(limit + 1).read_to_end(&mut bytes)?;
    if u64::try_from(read).unwrap_or(u64::MAX) > limit {
        return Err(io::Error::other("the decompressed bytes are too long"));
    }
    Ok(bytes)
}
