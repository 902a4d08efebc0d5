//! Faults of system calls in the processes that a test starts.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Faults of one process; none until [`Faults::set`].
#[derive(Clone, Debug)]
pub struct Faults {
    library: PathBuf,
    file: PathBuf,
    seed: u64,
}

impl Faults {
    /// Builds the library in a folder of the test's own. Needs a C compiler.
    pub fn new(folder: &Path, seed: u64) -> Faults {
        std::fs::create_dir_all(folder).expect("a folder");
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/faults.c");
        let library = folder.join("faults.so");
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]).arg(&library).arg(source);
        let built = compiler.args(["-ldl", "-lpthread"]).status().expect("a C compiler");
        assert!(built.success(), "the library of faults is built");
        let faults = Faults { library, file: folder.join("faults"), seed };
        faults.set(&[]);
        faults
    }

    /// From now on there are these faults, and no others; `faults.c` names them.
    pub fn set(&self, faults: &[(&str, u32)]) {
        let text: String = faults.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
        // Whole at any moment, however the process reads it.
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("written");
        std::fs::rename(next, &self.file).expect("put in place");
    }

    /// What a process needs in its environment.
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
