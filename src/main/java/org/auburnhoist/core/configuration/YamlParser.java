package org.auburnhoist.core.configuration;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Parse;
import org.snakeyaml.engine.v2.events.CollectionStartEvent;
import org.snakeyaml.engine.v2.events.Event;
import org.snakeyaml.engine.v2.events.NodeEvent;
import org.snakeyaml.engine.v2.events.ScalarEvent;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * Parses one YAML document into a tree of bounded depth. Anchors, aliases and tags are refused: a person who reads the
 * file should not have to resolve references to know what a line means.
 */
final class YamlParser {
    /** Maximum nesting depth, two levels more than a configuration file needs. */
    static final int MAX_DEPTH = 8;

    private final String file;
    private final FindingCollector findings;
    private final Iterator<Event> events;

    private YamlParser(String file, String text, FindingCollector findings) {
        this.file = file;
        this.findings = findings;
        LoadSettings settings = LoadSettings.builder()
                .setLabel(file)
                .setCodePointLimit(Integer.MAX_VALUE)
                .setParseComments(false)
                .build();
        this.events = new Parse(settings).parseString(text).iterator();
    }

    /** Returns the document, or null if it is empty or a finding was reported. */
    static @Nullable YamlNode parse(String file, String text, FindingCollector findings) {
        try {
            return new YamlParser(file, text, findings).document();
        } catch (Refused refused) {
            return null;
        } catch (MarkedYamlEngineException invalid) {
            SourceLocation location = locationOf(file, invalid.getProblemMark());
            findings.add(location, "well-formed YAML", String.valueOf(invalid.getProblem()));
            return null;
        } catch (YamlEngineException invalid) {
            findings.addForFile(file, "printable UTF-8 text in YAML", firstLine(invalid));
            return null;
        }
    }

    private @Nullable YamlNode document() {
        next(); // start of the stream
        if (next().getEventId() != Event.ID.DocumentStart) {
            return null;
        }
        YamlNode root = node(next(), 1);
        next(); // end of the document
        Event after = next();
        if (after.getEventId() != Event.ID.StreamEnd) {
            refuse(after, "one YAML document in each file", "a further document");
        }
        return root;
    }

    private Event next() {
        return events.next();
    }

    private YamlNode node(Event event, int depth) {
        if (event instanceof NodeEvent node && node.getAnchor().isPresent()) {
            boolean alias = event.getEventId() == Event.ID.Alias;
            throw refuse(event, "no anchors and no aliases", alias ? "an alias" : "an anchor");
        }
        if (depth > MAX_DEPTH) {
            throw refuse(event, "at most " + MAX_DEPTH + " levels of nesting", "a deeper level");
        }
        if (event instanceof ScalarEvent scalar) {
            return scalar(scalar);
        }
        if (event instanceof CollectionStartEvent start) {
            refuseTag(event, start.getTag().isPresent());
            return start.getEventId() == Event.ID.SequenceStart ? sequence(event, depth) : mapping(event, depth);
        }
        throw refuse(event, "a value", "the end of the document");
    }

    private YamlNode.Scalar scalar(ScalarEvent event) {
        refuseTag(event, event.getTag().isPresent());
        SourceLocation location = locationOf(file, event.getStartMark());
        return new YamlNode.Scalar(event.getValue(), event.isPlain(), location.line(), location.column());
    }

    private YamlNode sequence(Event start, int depth) {
        List<YamlNode> items = new ArrayList<>();
        for (Event event = next(); event.getEventId() != Event.ID.SequenceEnd; event = next()) {
            items.add(node(event, depth + 1));
        }
        SourceLocation location = locationOf(file, start.getStartMark());
        return new YamlNode.Sequence(items, location.line(), location.column());
    }

    private YamlNode mapping(Event start, int depth) {
        List<YamlNode.Field> fields = new ArrayList<>();
        for (Event event = next(); event.getEventId() != Event.ID.MappingEnd; event = next()) {
            if (!(event instanceof ScalarEvent)) {
                throw refuse(event, "a name before the colon", "a list, mapping or alias");
            }
            YamlNode name = node(event, depth + 1);
            YamlNode value = node(next(), depth + 1);
            fields.add(new YamlNode.Field((YamlNode.Scalar) name, value));
        }
        SourceLocation location = locationOf(file, start.getStartMark());
        return new YamlNode.Mapping(fields, location.line(), location.column());
    }

    private void refuseTag(Event event, boolean tagged) {
        if (tagged) {
            throw refuse(event, "no YAML tags", "a tag");
        }
    }

    private Refused refuse(Event event, String expected, String found) {
        findings.add(locationOf(file, event.getStartMark()), expected, found);
        return new Refused();
    }

    private static SourceLocation locationOf(String file, Optional<Mark> mark) {
        return mark.map(present -> new SourceLocation(file, present.getLine() + 1, present.getColumn() + 1, ""))
                .orElseGet(() -> new SourceLocation(file, 0, 0, ""));
    }

    private static String firstLine(YamlEngineException invalid) {
        return String.valueOf(invalid.getMessage()).lines().findFirst().orElse("unreadable text");
    }

    /** Aborts parsing after a finding that makes the rest of the file meaningless. */
    private static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1;

        Refused() {
            super(null, null, false, false);
        }
    }
}
