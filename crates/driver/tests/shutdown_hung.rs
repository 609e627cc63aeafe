//! SIGTERM while the only member hangs, over loopback: whatever was read has its answer before the program may be killed.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{
    Client, Discovery, Driver, Hold, Member, config, honour, honoured, list, look, until,
};
use aldermill_wire::pg;

/// With deadlines of 0.3 s the program may be killed so long after SIGTERM.
const DEADLINE: u32 = 300;
const KILLED: Duration = Duration::from_millis(1000);
/// Clients keep a busy connection busy: so often, and for so long.
const EVERY: Duration = Duration::from_millis(40);
const SENDING: Duration = Duration::from_millis(960);
/// What is written so shortly before a connection ends may cross that, and stay unread.
const CROSSING: Duration = Duration::from_millis(60);

/// What became of one connection: when its requests were written, when their answers came, and when it ended, all since
/// SIGTERM.
struct Course {
    written: Vec<Duration>,
    answered: Vec<Duration>,
    ended: Duration,
}

/// Writes a request behind the other for as long as the connection takes them, and reads what comes.
fn keep_busy(mut client: Client, told: Instant) -> Course {
    let mut writer = client.stream.try_clone().unwrap();
    let writing = thread::spawn(move || {
        let mut written = Vec::new();
        while told.elapsed() < SENDING {
            let mut query = Vec::new();
            pg::query(&mut query, &[look(DEADLINE).as_bytes()]);
            written.push(told.elapsed());
            if writer.write_all(&query).is_err() {
                break;
            }
            thread::sleep(EVERY);
        }
        written
    });
    let mut answered = Vec::new();
    while client.answer().is_some() {
        answered.push(told.elapsed());
    }
    let ended = told.elapsed();
    Course { written: writing.join().unwrap(), answered, ended }
}

#[test]
fn requests_sent_on_until_the_kill_have_their_answers_though_the_member_hangs() {
    let hold = Hold::default();
    let seen = hold.clone();
    let member = Member::start(move |text, stream| {
        seen.pass();
        honour(text, "writer", stream);
    });
    let known = list(1, true, &[("a", &member, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(known.clone());
    let short = config(discovery.start(), 256, &known)
        .replace(r#""targetMs":1000,"deadlineMs":20000"#, r#""targetMs":200,"deadlineMs":300"#);
    let mut driver = Driver::of(&short);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| assert!(honoured(&client.ask(&look(5000)))));
    hold.close();
    // Busy when the signal comes: what is sent from then on is behind this.
    clients.iter_mut().for_each(|client| client.send(&look(DEADLINE)));
    hold.reached();
    driver.signal("-TERM");
    let told = Instant::now();
    let busy: Vec<_> =
        clients.into_iter().map(|client| thread::spawn(move || keep_busy(client, told))).collect();
    let courses: Vec<Course> = busy.into_iter().map(|thread| thread.join().unwrap()).collect();
    for Course { written, answered, ended } in &courses {
        // One was under way before.
        let owed = 1 + written.iter().filter(|&&at| at + CROSSING < *ended).count();
        assert!(answered.len() >= owed, "{} of {owed} answered, the end after {ended:?}", answered.len());
        assert!(answered.iter().all(|&at| at < KILLED), "{answered:?}");
    }
    until("the end", || driver.child.try_wait().unwrap().is_some());
    assert!(driver.child.wait().unwrap().success());
    hold.open();
}
