/**
 * `shuntrun report`: service-level burn from running gateways or a recording.
 */
#ifndef SHUNTRUN_REPORT_H
#define SHUNTRUN_REPORT_H

int report_main(int argc, char **argv);

#endif
