/**
 * `shuntrun check FILE...`: validates policies, fleet configurations, machine lists and settings
 * files.
 */
#ifndef SHUNTRUN_CHECK_H
#define SHUNTRUN_CHECK_H

/** \return exit status of the process */
int check_main(int argc, char **argv);

#endif
