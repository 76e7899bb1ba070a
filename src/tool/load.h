/**
 * `shuntrun load`: generates open-loop load against a running system and checks every answer.
 */
#ifndef SHUNTRUN_LOAD_H
#define SHUNTRUN_LOAD_H

/** \return exit status of the process */
int load_main(int argc, char **argv);

#endif
