/**
 * `shuntrun simulate`: simulates a rollout, or a whole fleet under faults, on a virtual clock.
 */
#ifndef SHUNTRUN_SIMULATE_H
#define SHUNTRUN_SIMULATE_H

int simulate_main(int argc, char **argv);

#endif
