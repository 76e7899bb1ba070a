/**
 * Interface of the fuzz targets. Each target is a libFuzzer entry point for one kind of untrusted
 * input; without libFuzzer, fuzz_driver.c runs it on seeded mutations of its corpus.
 */
#ifndef SHUNTRUN_FUZZ_H
#define SHUNTRUN_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** Valid inputs to mutate, ended by NULL. */
extern const char *const fuzz_corpus[];

#endif
