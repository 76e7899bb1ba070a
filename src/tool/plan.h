/**
 * `shuntrun plan OLD NEW --machines FILE`: shows which machines would load or drop which models
 * under a new configuration, and why.
 */
#ifndef SHUNTRUN_PLAN_H
#define SHUNTRUN_PLAN_H

/** \return exit status of the process */
int plan_main(int argc, char **argv);

#endif
