/**
 * `shuntrun load`: open-loop load against a running system, with every answer checked.
 */
#ifndef SHUNTRUN_LOAD_H
#define SHUNTRUN_LOAD_H

int load_main(int argc, char **argv);

#endif
