mod among_many;
mod cases;
mod fresh;
mod givens;
mod in_time;
mod local;
mod rules;
mod world;
