/**
 * `shuntrun plan OLD NEW --machines FILE`: what a new configuration would move, and why.
 */
#ifndef SHUNTRUN_PLAN_H
#define SHUNTRUN_PLAN_H

int plan_main(int argc, char **argv);

#endif
