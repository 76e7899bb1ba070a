#!/usr/bin/env python3
"""Generate src/generated/settings_schema.{h,c} and docs/CONFIGURATION.md from schema/settings.json."""
import json
import pathlib
import sys

ROLE_FLAGS = {"gateway": "SETTING_ROLE_GATEWAY", "agent": "SETTING_ROLE_AGENT",
             "edge": "SETTING_ROLE_EDGE", "loader": "SETTING_ROLE_LOADER"}
C_TYPES = {"string": "const char *", "url": "const char *", "choice": "const char *",
           "endpoint": "const char *", "number": "const char *",
           "uint": "uint64_t ", "most": "uint64_t ", "least": "uint64_t ", "bool": "bool "}
GENERATED_NOTICE = "/* Generated from schema/settings.json by schema/generate_settings.py; do not edit. */\n"


def field_name(setting):
    return setting["name"].replace("-", "_")


def default_text(setting):
    value = setting.get("default")
    if value is None:
        return None
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def c_string(text):
    return "NULL" if text is None else json.dumps(text)


def schema_header(settings):
    """Return the text of settings_schema.h."""
    lines = [GENERATED_NOTICE,
             "#ifndef SHUNTRUN_SETTINGS_SCHEMA_H\n#define SHUNTRUN_SETTINGS_SCHEMA_H\n",
             "#include <stdbool.h>\n#include <stdint.h>\n",
             "/** Settings of all daemons; see docs/CONFIGURATION.md. */",
             "struct settings {"]
    for setting in settings:
        lines.append(f"    {C_TYPES[setting['type']]}{field_name(setting)};")
    lines += ["};\n", f"#define SETTING_COUNT {len(settings)}\n", "#endif"]
    return "\n".join(lines) + "\n"


def schema_source(settings):
    """Return the text of settings_schema.c."""
    lines = [GENERATED_NOTICE, '#include "base/settings.h"\n#include <stddef.h>\n',
             "const struct setting_descriptor setting_descriptors[SETTING_COUNT] = {"]
    for setting in settings:
        roles = " | ".join(ROLE_FLAGS[role] for role in setting["roles"])
        choices = "|".join(setting.get("choices", [])) or None
        lines.append("    {" + ", ".join([
            c_string(setting["name"]), f"SETTING_{setting['type'].upper()}",
            f"offsetof(struct settings, {field_name(setting)})", c_string(default_text(setting)),
            str(setting.get("min", 0)), str(setting.get("max", 0)), c_string(setting.get("unit")),
            c_string(choices), roles, "true" if setting.get("required") else "false",
            "true" if setting.get("reload") else "false",
            c_string(setting["help"])]) + "},")
    lines.append("};")
    return "\n".join(lines) + "\n"


def settings_reference(settings):
    """Return the text of docs/CONFIGURATION.md."""
    lines = ["# Settings", "",
             "Generated from `schema/settings.json`. Each setting is a flag (`--name VALUE`), an environment",
             "variable (`SHUNTRUN_NAME`) or a line `name = value` of the file given by `--settings FILE`. Flags",
             "take precedence over variables, and variables over the file. All errors are reported together,",
             "each with its source, and the process exits with status 2 before it starts anything.", "",
             "Types: `most` is an upper and `least` a lower bound. Both may be fractions and are rounded to",
             "whole units so that the bound still holds: `most` down, `least` up.", "",
             "On SIGHUP an edge or a loader reads its settings again. Those marked with `yes` below change at",
             "once; changes of others are logged by name and wait for a restart. Invalid settings change nothing.", "",
             "| setting | roles | type | unit | default | range | SIGHUP | meaning |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for setting in settings:
        value_range = f"{setting['min']} to {setting['max']}" if "max" in setting else ""
        if "choices" in setting:
            value_range = ", ".join(setting["choices"])
        default = "required" if setting.get("required") else (default_text(setting) or "none")
        lines.append(f"| `{setting['name']}` | {', '.join(setting['roles'])} | {setting['type']} | "
                     f"{setting.get('unit', '')} | {default} | {value_range} | "
                     f"{'yes' if setting.get('reload') else ''} | {setting['help']} |")
    return "\n".join(lines) + "\n"


def main():
    root = pathlib.Path(sys.argv[1])
    settings = json.loads((root / "schema/settings.json").read_text())["settings"]
    (root / "src/generated/settings_schema.h").write_text(schema_header(settings))
    (root / "src/generated/settings_schema.c").write_text(schema_source(settings))
    (root / "docs/CONFIGURATION.md").write_text(settings_reference(settings))


if __name__ == "__main__":
    main()
