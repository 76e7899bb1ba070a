/**
 * The edge: a gateway that forwards client requests directly to backends, and tells clients which
 * gateway addresses to use.
 */
#ifndef SHUNTRUN_EDGE_H
#define SHUNTRUN_EDGE_H

/** \brief Runs the edge until it is stopped. \return exit status of the process */
int edge_main(int argc, char **argv);

#endif
