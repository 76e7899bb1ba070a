/**
 * The loader: beside one model engine. It fetches the pieces of the version that the operator
 * names, from peers and the origin, stages them at the engine, checks what lies there, and orders
 * the engine to take them. It also tells the gateways the engine's load.
 */
#ifndef SHUNTRUN_LOADER_H
#define SHUNTRUN_LOADER_H

int loader_main(int argc, char **argv);

#endif
