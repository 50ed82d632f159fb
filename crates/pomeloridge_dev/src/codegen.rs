//! Generates the Rust code of the calls between nodes from their `.proto` file.
//!
//! The output is committed, so that a build needs no generator; `--check` reports
//! whether the committed file is current.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

/// Source file, relative to the workspace root.
const PROTO: &str = "crates/pomeloridge_node/proto/node.proto";
/// Committed output, relative to the workspace root.
const OUTPUT: &str = "crates/pomeloridge_node/src/generated/pomeloridge.node.rs";
/// Name of the file that the generator writes.
const FILE_NAME: &str = "pomeloridge.node.rs";

/// Writes the committed file; with `check`, only returns whether it is current.
pub(crate) fn run(check: bool) -> Result<bool, Box<dyn Error>> {
    let root = root();
    let generated = generate(&root.join(PROTO))?;
    let path = root.join(OUTPUT);
    if check {
        let current = fs::read_to_string(&path).is_ok_and(|committed| committed == generated);
        if !current {
            eprintln!("{OUTPUT} is out of date; run `cargo run -p pomeloridge_dev -- codegen`");
        }
        return Ok(current);
    }
    fs::write(&path, generated)?;
    Ok(true)
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn generate(proto: &Path) -> Result<String, Box<dyn Error>> {
    let include = proto.parent().unwrap_or(Path::new("."));
    let files = protox::compile([proto], [include])?;
    let temp = TempDir::new()?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(&temp.0)
        .compile_fds(files)?;
    Ok(fs::read_to_string(temp.0.join(FILE_NAME))?)
}

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> std::io::Result<Self> {
        let path = env::temp_dir().join(format!("pomeloridge-codegen-{}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.0) {
            eprintln!("cannot remove {}: {error}", self.0.display());
        }
    }
}
