mod among_many;
mod cases;
mod fresh;
mod givens;
mod in_time;
mod rules;
mod wide_groups;
mod world;
