/**
 * `shuntrun check FILE...`: policies, fleet configurations, machine lists and settings files.
 */
#ifndef SHUNTRUN_CHECK_H
#define SHUNTRUN_CHECK_H

int check_main(int argc, char **argv);

#endif
