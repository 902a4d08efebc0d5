//! A suspicion, which is the shorter the more members share it.

use crate::name::Name;
use crate::Micros;

/// Somebody does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    began: Micros,
    /// Time that did not count, as this process did not run.
    lost: Micros,
    least: Micros,
    most: Micros,
    wanted: usize,
    by: Vec<Name>,
}

impl Suspicion {
    /// Lasts from `least` (shared by `wanted` more) to `most` (by nobody else).
    pub fn new(now: Micros, by: Name, least: Micros, most: Micros, wanted: usize) -> Suspicion {
        Suspicion { began: now, lost: 0, least, most, wanted, by: vec![by] }
    }

    /// Somebody shares it. Whether that is news: not from one that has said so, nor beyond those that are wanted.
    pub fn confirm(&mut self, by: &Name) -> bool {
        let is_news = self.by.len() <= self.wanted && !self.by.contains(by);
        if is_news {
            self.by.push(by.clone());
        }
        is_news
    }

    pub fn began(&self) -> Micros {
        self.began
    }

    pub fn by(&self) -> &[Name] {
        &self.by
    }

    /// Time that does not count.
    pub fn forgive(&mut self, time: Micros) {
        self.lost += time;
    }

    pub fn ends(&self) -> Micros {
        let shared = self.by.len() - 1;
        let part = match self.wanted {
            0 => 1.0,
            wanted => ((shared + 1) as f64).ln() / ((wanted + 1) as f64).ln(),
        };
        let most = self.most as f64;
        let time = (most - (most - self.least as f64) * part).max(self.least as f64);
        self.began + self.lost + time as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_that_shares_it_makes_it_shorter_and_nobody_counts_twice() {
        let name = |text| Name::new(text).expect("a name");
        let mut suspicion = Suspicion::new(100, name("a"), 1_000, 3_000, 3);
        assert_eq!(suspicion.ends(), 3_100);
        assert!(!suspicion.confirm(&name("a")), "its own word does not confirm it");
        let mut before = suspicion.ends();
        for by in ["b", "c", "d"] {
            assert!(suspicion.confirm(&name(by)));
            assert!(suspicion.ends() < before);
            before = suspicion.ends();
        }
        assert_eq!(before, 1_100);
        assert!(!suspicion.confirm(&name("e")), "no more are wanted");
        suspicion.forgive(50);
        assert_eq!(suspicion.ends(), 1_150);
    }
}
