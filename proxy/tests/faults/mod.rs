//! Injected faults of system calls in the processes that a test starts.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The injected faults of a test's processes; none until [`Faults::set`].
#[derive(Clone, Debug)]
pub struct Faults {
    library: PathBuf,
    file: PathBuf,
    seed: u64,
}

impl Faults {
    /// Builds the preloaded library in the test's own folder. Needs a C compiler.
    pub fn new(folder: &Path, seed: u64) -> Faults {
        std::fs::create_dir_all(folder).expect("the folder is created");
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/faults.c");
        let library = folder.join("faults.so");
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]).arg(&library).arg(source);
        let built = compiler.args(["-ldl", "-lpthread"]).status().expect("a C compiler");
        assert!(built.success(), "the preloaded library is built");
        let faults = Faults { library, file: folder.join("faults"), seed };
        faults.set(&[]);
        faults
    }

    /// Replaces the injected faults by these, from now on; `faults.c` lists their names.
    pub fn set(&self, faults: &[(&str, u32)]) {
        let text: String = faults.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
        // Replaced atomically, so that the process never reads a part of it.
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("written");
        std::fs::rename(next, &self.file).expect("renamed");
    }

    /// The environment variables that load the library into a process.
    pub fn environment(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.to_str().expect("a path in UTF-8").to_owned();
        let pairs = [
            ("LD_PRELOAD", text(&self.library)),
            ("FAULTS_FILE", text(&self.file)),
            ("FAULTS_SEED", self.seed.to_string()),
        ];
        pairs.map(|(name, value)| (name.to_owned(), value)).into()
    }
}
