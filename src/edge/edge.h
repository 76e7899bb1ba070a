/**
 * The edge: a gateway that sends the requests of clients directly to back ends, and tells clients
 * which addresses to use.
 */
#ifndef SHUNTRUN_EDGE_H
#define SHUNTRUN_EDGE_H

int edge_main(int argc, char **argv);

#endif
