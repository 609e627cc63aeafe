mod cases;
mod rules;
mod world;
