/**
 * The loader process, one beside each model engine. It fetches the pieces of the weights version
 * that the operator announces from other nodes and the origin, uploads them to the engine's staging
 * area, verifies them there, and orders the engine to load them. It also reports the engine's load
 * to the gateways.
 */
#ifndef SHUNTRUN_LOADER_H
#define SHUNTRUN_LOADER_H

/** \return exit status of the process */
int loader_main(int argc, char **argv);

#endif
