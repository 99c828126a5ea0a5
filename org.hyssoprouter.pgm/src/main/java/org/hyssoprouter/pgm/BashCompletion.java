package org.hyssoprouter.pgm;

import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Generates the bash completion script. */
final class BashCompletion {
    private BashCompletion() {}

    static String script(List<Subcommand> subcommands) {
        TreeSet<String> commands = new TreeSet<>(List.of("completion"));
        subcommands.forEach(subcommand -> commands.add(subcommand.name().split(" ")[0]));
        String configCommands =
                subcommands.stream()
                        .filter(subcommand -> subcommand.name().startsWith("config "))
                        .map(subcommand -> subcommand.name().split(" ")[1])
                        .collect(Collectors.joining(" "));
        return String.join(
                "\n",
                "_hyssop() {",
                "    local word=\"${COMP_WORDS[COMP_CWORD]}\"",
                "    local before=\"${COMP_WORDS[COMP_CWORD-1]}\"",
                "    case \"$before\" in",
                "        hyssop) COMPREPLY=($(compgen -W \""
                        + String.join(" ", commands)
                        + "\" -- \"$word\"));;",
                "        config) COMPREPLY=($(compgen -W \""
                        + configCommands
                        + "\" -- \"$word\"));;",
                "        --output) COMPREPLY=($(compgen -W \"table json\" -- \"$word\"));;",
                "        submit|set|--token-file) COMPREPLY=($(compgen -f -- \"$word\"));;",
                "        *) COMPREPLY=($(compgen -W \"--server --token-file --output"
                        + " --timeout-millis --help\" -- \"$word\"));;",
                "    esac",
                "}",
                "complete -F _hyssop hyssop",
                "");
    }
}
