//! What stations are told. The engine carries it, and knows nothing of it.

use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one station is told, as it has read it from a file of its own.
pub trait Extra: Any + std::fmt::Debug + Send + Sync {}

/// What stations are told, by type: one of each at the most.
#[derive(Clone, Debug, Default)]
pub struct Extras(BTreeMap<TypeId, Arc<dyn Extra>>);

impl Extras {
    /// Takes something in, in the place of what there was of its type.
    pub fn set<E: Extra>(&mut self, extra: E) {
        self.0.insert(TypeId::of::<E>(), Arc::new(extra));
    }

    /// What there is of this type.
    pub fn get<E: Extra>(&self) -> Option<&E> {
        let extra: &dyn Any = &**self.0.get(&TypeId::of::<E>())?;
        extra.downcast_ref()
    }

    /// What a running proxy takes over: of each type that it has, the new one, or the old where there is none. Whether
    /// there was more comes back too.
    pub(crate) fn renewed(&self, mut new: Extras) -> (Extras, bool) {
        let (mut renewed, mut more) = (self.clone(), false);
        for (id, extra) in std::mem::take(&mut new.0) {
            match renewed.0.get_mut(&id) {
                Some(old) => *old = extra,
                None => more = true,
            }
        }
        (renewed, more)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, PartialEq)]
    struct One(u32);
    #[derive(Debug, PartialEq)]
    struct Other(u32);
    impl Extra for One {}
    impl Extra for Other {}

    #[test]
    fn what_is_new_is_taken_over_only_where_there_was_one() {
        let (mut old, mut new) = (Extras::default(), Extras::default());
        old.set(One(1));
        new.set(One(2));
        new.set(Other(3));
        let (renewed, more) = old.renewed(new);
        assert!(more);
        assert_eq!((renewed.get::<One>(), renewed.get::<Other>()), (Some(&One(2)), None));
        let (renewed, more) = old.renewed(Extras::default());
        assert!(!more);
        assert_eq!(renewed.get::<One>(), Some(&One(1)));
    }
}
