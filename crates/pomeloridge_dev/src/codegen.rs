//! Makes the Rust code of the calls between nodes from their `.proto` file.
//!
//! The result is committed, so that a build needs no generator; a check says
//! whether the committed file is current.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

/// File that describes the calls, under the root of the workspace.
const PROTO: &str = "crates/pomeloridge_node/proto/node.proto";
/// Committed result, under the root of the workspace.
const RESULT: &str = "crates/pomeloridge_node/src/generated/pomeloridge.node.rs";
/// Name that the generator gives its file.
const FILE_NAME: &str = "pomeloridge.node.rs";

/// Writes the committed file, or with `check` says whether it is current.
pub(crate) fn run(check: bool) -> Result<bool, Box<dyn Error>> {
    let root = root();
    let made = generate(&root.join(PROTO))?;
    let path = root.join(RESULT);
    if check {
        let current = fs::read_to_string(&path).is_ok_and(|committed| committed == made);
        if !current {
            eprintln!("{RESULT} is not current; run `cargo run -p pomeloridge_dev -- codegen`");
        }
        return Ok(current);
    }
    fs::write(&path, made)?;
    Ok(true)
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn generate(proto: &Path) -> Result<String, Box<dyn Error>> {
    let include = proto.parent().unwrap_or(Path::new("."));
    let files = protox::compile([proto], [include])?;
    let scratch = Scratch::new()?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(&scratch.0)
        .compile_fds(files)?;
    Ok(fs::read_to_string(scratch.0.join(FILE_NAME))?)
}

/// A directory that is removed in the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> std::io::Result<Self> {
        let path = env::temp_dir().join(format!("pomeloridge-codegen-{}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.0) {
            eprintln!("{} stays behind: {error}", self.0.display());
        }
    }
}
