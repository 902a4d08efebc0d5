//! Valid and invalid members files.

use nettleworks_members_wire::Settings;
use serde_json::{json, Value};

fn file(change: impl FnOnce(&mut Value)) -> Result<Settings, String> {
    let mut file = json!({"name": "kiosk-1", "listen": "127.0.0.1:7100", "seeds": ["127.0.0.1:7101"],
                          "key_file": "members.key"});
    change(&mut file);
    Settings::parse(&file.to_string())
}

#[test]
fn a_minimal_file_is_valid_and_intervals_scale_with_its_period() {
    let settings = file(|file| file["period_ms"] = 100.into()).expect("good");
    let config = settings.config().expect("good");
    assert_eq!((config.period, config.timeout, config.gossip_every), (100_000, 30_000, 20_000));
    assert!(config.max_message_bytes + nettleworks_members_wire::MAX_OVERHEAD_BYTES <= 1_400);
    assert_eq!(settings.metadata(settings.listen, "1.2").version, "1.2");
}

#[test]
fn errors_name_the_invalid_key() {
    let cases: [(&str, Value, &str); 14] = [
        ("name", "".into(), "name"),
        ("name", "two words".into(), "name"),
        ("listen", "nowhere".into(), "listen"),
        ("listen", "0.0.0.0:7100".into(), "advertise"),
        ("advertise", "0.0.0.0:7100".into(), "advertise"),
        ("advertise", "127.0.0.1:0".into(), "advertise"),
        ("seeds", vec!["127.0.0.1:1"; 65].into(), "seeds"),
        ("seeds", json!(["x"]), "seeds[0]"),
        ("zone", "a zone with far too long a name".into(), "zone"),
        ("role", "a\u{7}".into(), "role"),
        ("period_ms", 5.into(), "period"),
        ("most", 1.into(), "most"),
        ("sends_a_second", 1.into(), "sends"),
        ("naem", "x".into(), "naem"),
    ];
    for (key, value, named) in cases {
        let result = file(|file| file[key] = value.clone());
        let error = result.expect_err(&format!("{key} = {value}"));
        assert!(error.contains(named), "{key} = {value}: {error}");
    }
    for missing in ["name", "listen", "seeds", "key_file"] {
        let result = file(|file| drop(file.as_object_mut().expect("an object").remove(missing)));
        assert!(result.expect_err(missing).contains(missing));
    }
}

#[test]
fn a_missing_short_or_long_key_is_rejected() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join("key-of-settings");
    let settings = file(|file| file["key_file"] = path.to_string_lossy().into()).expect("good");
    let _ = std::fs::remove_file(&path);
    assert!(settings.codec().expect_err("none").contains("key-of-settings"));
    for (key, is_valid) in [("short", false), ("  sixteen bytes....\n", true), (&"k".repeat(5_000), false)] {
        std::fs::write(&path, key).expect("written");
        assert_eq!(settings.codec().is_ok(), is_valid, "{} bytes", key.len());
    }
}
