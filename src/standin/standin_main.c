/**
 * Entry point of the program shuntrun-standin, which runs one stand-in; not part of the product.
 */
#include "standin/standin.h"

#include <stdio.h>
#include <string.h>

int main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(int argc, char **argv);
    } kinds[] = {{"values", values_main},
                 {"origin", origin_main},
                 {"engine", engine_main},
                 {"service", service_main},
                 {"link", link_main}};
    for (size_t i = 0; argc > 1 && i < sizeof kinds / sizeof kinds[0]; i++)
        if (strcmp(argv[1], kinds[i].name) == 0)
            return kinds[i].run(argc - 1, argv + 1);
    fputs("Usage: shuntrun-standin values|origin|engine|service|link [OPTION...]\n", stderr);
    return 2;
}
