//! Measures the store on this machine's disk: `cargo run --release -p aldermill-store --example commits [folder]`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use aldermill_store::{Batch, Committer, Disk, Limits, Store};

const LONG: Duration = Duration::from_secs(3);
const VALUE: [u8; 100] = [7; 100];

fn batch(key: u64) -> Batch {
    let mut batch = Batch::default();
    batch.put(1, &key.to_be_bytes(), &VALUE, None);
    batch
}

/// Confirmed writes a second with so many writers waiting, and the 99% of their waits in milliseconds.
fn store(folder: &Path, writers: usize) -> (f64, f64) {
    let limits = Limits { max_segment_bytes: 16 << 20, ..Limits::for_memory(256 << 20) };
    let (store, _) = Store::open(Disk::open(folder).unwrap(), limits, 0).unwrap();
    let committer = Committer::start(store, writers, || 0);
    let (told, heard) = channel::<Instant>();
    let hand = |key: u64| {
        let (told, began) = (told.clone(), Instant::now());
        let done = Box::new(move |well: bool| well.then(|| told.send(began)).map_or((), drop));
        // There is a place for each writer, and each has one batch out.
        assert!(committer.write(batch(key % 1000), done).is_ok());
    };
    let start = Instant::now();
    (0..writers as u64).for_each(hand);
    let (mut count, mut waits) = (0u64, Vec::new());
    while start.elapsed() < LONG {
        let Ok(began) = heard.recv() else { break };
        waits.push(began.elapsed());
        count += 1;
        hand(writers as u64 + count);
    }
    let took = start.elapsed().as_secs_f64();
    waits.sort();
    (count as f64 / took, waits[waits.len() * 99 / 100].as_secs_f64() * 1000.0)
}

/// Bare writes of as many bytes as so many writers' batches have, each followed by a sync.
fn bare(folder: &Path, writers: usize) -> f64 {
    let mut file = std::fs::File::create(folder.join("bare")).unwrap();
    let bytes = vec![1u8; writers * 150];
    let (start, mut count) = (Instant::now(), 0);
    while start.elapsed() < LONG {
        file.write_all(&bytes).unwrap();
        file.sync_data().unwrap();
        count += writers;
    }
    count as f64 / start.elapsed().as_secs_f64()
}

fn recovery(folder: &Path, megabytes: u64) {
    let _ = std::fs::remove_dir_all(folder);
    let live = megabytes * 1024 * 1024 / 100;
    let limits = Limits {
        max_segment_bytes: 16 << 20,
        max_batch_bytes: 4 << 20,
        max_live_bytes: 2 * live + (4 << 20),
        max_log_ratio: u64::MAX >> 24,
    };
    let (mut store, _) = Store::open(Disk::open(folder).unwrap(), limits, 0).unwrap();
    let keys = (live / 1024).max(1);
    let mut key = 0;
    while store.log_bytes() < megabytes << 20 {
        let mut batch = Batch::default();
        for _ in 0..256 {
            batch.put(1, &(key % keys).to_be_bytes(), &[1; 1024], None);
            key += 1;
        }
        store.commit(0, vec![batch]).unwrap();
    }
    drop(store);
    let start = Instant::now();
    let (store, recovered) = Store::open(Disk::open(folder).unwrap(), limits, 0).unwrap();
    let took = start.elapsed();
    let start = Instant::now();
    let mut store = store;
    store.compact().unwrap();
    println!(
        "recovery of {megabytes} MB, 1% live: {:.0} ms, {} segments, {} records; compaction {:.0} ms",
        took.as_secs_f64() * 1000.0,
        recovered.segments,
        recovered.records,
        start.elapsed().as_secs_f64() * 1000.0
    );
}

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("aldermill-commits-{}", std::process::id()));
    for writers in [1, 16, 256] {
        let _ = std::fs::remove_dir_all(&folder);
        let (confirmed, wait) = store(&folder, writers);
        let allowed = bare(&folder, writers);
        println!(
            "{writers:>3} writers: {confirmed:.0} confirmed a second, 99% wait {wait:.2} ms; bare write and sync allows {allowed:.0} ({:.2})",
            confirmed / allowed
        );
    }
    for megabytes in [10, 100, 1000] {
        recovery(&folder, megabytes);
    }
    let _ = std::fs::remove_dir_all(&folder);
}
