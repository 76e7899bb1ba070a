/**
 * Entry point: one subcommand for each role and operator tool.
 */
#include "agent/agent.h"
#include "edge/edge.h"
#include "gateway/gateway.h"
#include "loader/loader.h"
#include "net/key_ring.h"
#include "sim/session.h"
#include "sim/simulate.h"
#include "tool/check.h"
#include "tool/explain.h"
#include "tool/load.h"
#include "tool/plan.h"
#include "tool/report.h"
#include "tool/status.h"
#include "tool/suspects.h"

#include <stdio.h>
#include <string.h>

struct subcommand {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
};

static const struct subcommand subcommands[] = {
    {"gateway", gateway_main, "run a gateway for clients"},
    {"agent", agent_main, "run the agent of one backend machine"},
    {"edge", edge_main, "run a gateway that calls backends directly"},
    {"loader", loader_main, "run the loader of one model engine"},
    {"check", check_main, "check policies, configurations, machine lists and settings"},
    {"plan", plan_main, "show what a new configuration would load or drop, and why"},
    {"status", status_main, "show the progress of rollouts"},
    {"suspects", suspects_main, "list requests that crash backends, or allow one to run again"},
    {"explain", explain_main, "explain from the logs how a request ended"},
    {"report", report_main, "report error-budget burn rates"},
    {"simulate", simulate_main, "simulate a whole fleet on a virtual clock"},
    {"replay", replay_main, "repeat a recorded session and compare the results"},
    {"keys", keys_main, "print a key file for the links between processes"},
    {"load", load_main, "generate load on a running system and check every answer"},
};

#define SUBCOMMAND_COUNT (sizeof subcommands / sizeof subcommands[0])

static void print_usage(FILE *stream)
{
    fputs("Usage: shuntrun SUBCOMMAND [OPTION...]\n"
          "Distribute model weights in bursts and route requests while they move.\n\n",
          stream);
    for (size_t i = 0; i < SUBCOMMAND_COUNT; i++)
        fprintf(stream, "  %-10s %s\n", subcommands[i].name, subcommands[i].help);
    fputs("\n`shuntrun SUBCOMMAND --help` lists its options; `shuntrun --version` prints the "
          "version.\n",
          stream);
}

static int run_subcommand(const struct subcommand *subcommand, int argc, char **argv)
{
    char name[64];
    snprintf(name, sizeof name, "shuntrun %s", subcommand->name);
    argv[1] = name; /* argp prints it in usage and error messages */
    return subcommand->run(argc - 1, argv + 1);
}

int main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "--version") == 0) {
        puts("shuntrun " SHUNTRUN_VERSION);
        return 0;
    }
    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return 0;
    }
    for (size_t i = 0; argc > 1 && i < SUBCOMMAND_COUNT; i++)
        if (strcmp(argv[1], subcommands[i].name) == 0)
            return run_subcommand(&subcommands[i], argc, argv);
    if (argc > 1)
        fprintf(stderr, "shuntrun: unknown subcommand `%s`\n", argv[1]);
    print_usage(stderr);
    return 2;
}
