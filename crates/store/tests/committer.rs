//! The thread that writes, over a real directory.

use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use aldermill_store::{Batch, Committer, Disk, Limits, Store};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("aldermill-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64)
}

fn put(key: u32, value: &[u8]) -> Batch {
    let mut batch = Batch::default();
    batch.put(1, &key.to_be_bytes(), value, None);
    batch
}

fn limits() -> Limits {
    Limits { max_segment_bytes: 64 << 10, ..Limits::for_memory(64 << 20) }
}

#[test]
fn a_restart_finds_what_was_confirmed_and_a_second_process_is_locked_out() {
    let folder = Folder::new("restart");
    let (store, _) = Store::open(Disk::open(&folder.0).unwrap(), limits(), now()).unwrap();
    assert!(Disk::open(&folder.0).is_err());
    let committer = Committer::start(store, 64, now);
    let (told, heard) = channel();
    let mut handed = 0;
    while handed < 2000 {
        let told = told.clone();
        match committer.write(
            put(handed % 300, &handed.to_be_bytes()),
            Box::new(move |well| told.send(well).unwrap_or_default()),
        ) {
            Ok(()) => handed += 1,
            // As many wait as may: it is for the caller to come again.
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    assert!((0..2000).all(|_| heard.recv_timeout(Duration::from_secs(30)).unwrap()));
    // Reading works while another has the lock.
    let (seen, _) = Store::read(Disk::open_read_only(&folder.0), limits(), now()).unwrap();
    assert_eq!(seen.namespace_entries(1).count(), 300);
    drop(committer);
    let (store, recovered) = Store::open(Disk::open(&folder.0).unwrap(), limits(), now()).unwrap();
    assert_eq!((recovered.damage.len(), recovered.torn_bytes), (0, 0));
    let newest = |key: u32| (key + 300 * ((1999 - key) / 300)).to_be_bytes();
    for key in 0..300u32 {
        assert_eq!(store.snapshot().get(1, &key.to_be_bytes()).as_deref(), Some(&newest(key)[..]));
    }
}

#[test]
fn a_batch_that_is_too_large_fails_alone_among_those_that_share_its_sync() {
    let folder = Folder::new("large");
    let (store, _) = Store::open(Disk::open(&folder.0).unwrap(), limits(), now()).unwrap();
    let committer = Committer::start(store, 64, now);
    let (told, heard) = channel();
    for (key, size) in [(1, 10), (2, 2 << 20), (3, 10)] {
        let told = told.clone();
        let done = Box::new(move |well| told.send((key, well)).unwrap_or_default());
        assert!(committer.write(put(key, &vec![1; size]), done).is_ok());
    }
    let mut said: Vec<(u32, bool)> =
        (0..3).map(|_| heard.recv_timeout(Duration::from_secs(30)).unwrap()).collect();
    said.sort();
    assert_eq!(said, [(1, true), (2, false), (3, true)]);
    let (told, heard) = channel();
    assert!(
        committer.read_snapshot(move |seen| told.send(seen.namespace_entries(1).count()).unwrap_or_default())
    );
    assert_eq!(heard.recv_timeout(Duration::from_secs(30)).unwrap(), 2);
}
