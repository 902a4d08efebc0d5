//! What stations are told. The engine carries it, and knows nothing of it.

use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one station is told, as it has read it from a file of its own.
pub trait Extension: Any + std::fmt::Debug + Send + Sync {}

/// What stations are told, by type: one of each at the most.
#[derive(Clone, Debug, Default)]
pub struct Extensions(BTreeMap<TypeId, Arc<dyn Extension>>);

impl Extensions {
    /// Takes something in, in the place of what there was of its type.
    pub fn set<E: Extension>(&mut self, extension: E) {
        self.0.insert(TypeId::of::<E>(), Arc::new(extension));
    }

    /// What there is of this type.
    pub fn get<E: Extension>(&self) -> Option<&E> {
        let extension: &dyn Any = &**self.0.get(&TypeId::of::<E>())?;
        extension.downcast_ref()
    }

    /// What a running proxy takes over: of each type that it has, the new one, or the old where there is none. Whether
    /// there was more comes back too.
    pub(crate) fn merged_on_reload(&self, mut new: Extensions) -> (Extensions, bool) {
        let (mut merged, mut has_new_types) = (self.clone(), false);
        for (id, extension) in std::mem::take(&mut new.0) {
            match merged.0.get_mut(&id) {
                Some(old) => *old = extension,
                None => has_new_types = true,
            }
        }
        (merged, has_new_types)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, PartialEq)]
    struct First(u32);
    #[derive(Debug, PartialEq)]
    struct Second(u32);
    impl Extension for First {}
    impl Extension for Second {}

    #[test]
    fn reload_replaces_only_present_types() {
        let (mut old, mut new) = (Extensions::default(), Extensions::default());
        old.set(First(1));
        new.set(First(2));
        new.set(Second(3));
        let (merged, has_new_types) = old.merged_on_reload(new);
        assert!(has_new_types);
        assert_eq!((merged.get::<First>(), merged.get::<Second>()), (Some(&First(2)), None));
        let (merged, has_new_types) = old.merged_on_reload(Extensions::default());
        assert!(!has_new_types);
        assert_eq!(merged.get::<First>(), Some(&First(1)));
    }
}
