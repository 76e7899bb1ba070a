/**
 * One decoder of outside bytes for each fuzz target. A target is a libFuzzer entry point; without
 * libFuzzer, fuzz_driver.c runs it over seeded mutations of its corpus.
 */
#ifndef SHUNTRUN_FUZZ_H
#define SHUNTRUN_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** Valid inputs to start from, ended by NULL. */
extern const char *const fuzz_corpus[];

#endif
