package org.hyssoprouter.pgm;

import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Writes the completion of bash. */
final class BashCompletion {
    private BashCompletion() {}

    static String script(List<Subcommand> verbs) {
        TreeSet<String> first = new TreeSet<>(List.of("completion"));
        verbs.forEach(verb -> first.add(verb.name().split(" ")[0]));
        String config =
                verbs.stream()
                        .filter(verb -> verb.name().startsWith("config "))
                        .map(verb -> verb.name().split(" ")[1])
                        .collect(Collectors.joining(" "));
        return String.join(
                "\n",
                "_hyssop() {",
                "    local word=\"${COMP_WORDS[COMP_CWORD]}\"",
                "    local before=\"${COMP_WORDS[COMP_CWORD-1]}\"",
                "    case \"$before\" in",
                "        hyssop) COMPREPLY=($(compgen -W \""
                        + String.join(" ", first)
                        + "\" -- \"$word\"));;",
                "        config) COMPREPLY=($(compgen -W \"" + config + "\" -- \"$word\"));;",
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
