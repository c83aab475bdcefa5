/** Assembles the chunks of a streamed completion into one complete response. */
import * as z from 'zod';

const chunkSchema = z.looseObject({
  id: z.string(),
  model: z.string().optional(),
  created: z.number().optional(),
  choices: z.array(
    z.looseObject({
      index: z.number(),
      delta: z.looseObject({content: z.string().nullish()}).optional(),
      text: z.string().optional(),
      finish_reason: z.string().nullish(),
    }),
  ),
  usage: z.looseObject({}).nullish(),
});

type Chunk = z.infer<typeof chunkSchema>;

/** The shapes of a complete response, by path. */
const ANSWER_SHAPES: Record<
  string,
  {object: string; buildChoice: (index: number, text: string) => object}
> = {
  '/v1/chat/completions': {
    object: 'chat.completion',
    buildChoice: (index, text) => ({
      index,
      message: {role: 'assistant', content: text},
    }),
  },
  '/v1/completions': {
    object: 'text_completion',
    buildChoice: (index, text) => ({index, text}),
  },
};

/** Whether responses of `path` consist of chunks. */
export function isCompletionPath(path: string): boolean {
  return path in ANSWER_SHAPES;
}

/** Builds the complete response of a completion from its chunks in order. */
export function collectCompletion(
  path: string,
  payloads: readonly Buffer[],
): object {
  const chunks = payloads.map(payload =>
    chunkSchema.parse(JSON.parse(payload.toString('utf8'))),
  );
  const shape = ANSWER_SHAPES[path];
  const texts = new Map<number, string>();
  const finishReasons = new Map<number, string>();
  for (const choice of chunks.flatMap(chunk => chunk.choices)) {
    const piece = choice.delta?.content ?? choice.text ?? '';
    texts.set(choice.index, (texts.get(choice.index) ?? '') + piece);
    if (choice.finish_reason) {
      finishReasons.set(choice.index, choice.finish_reason);
    }
  }
  const first: Chunk | undefined = chunks[0];
  const usage = chunks.findLast(chunk => chunk.usage)?.usage ?? null;
  return {
    id: first?.id ?? '',
    object: shape.object,
    created: first?.created ?? 0,
    model: first?.model ?? '',
    choices: [...texts].map(([index, text]) => ({
      ...shape.buildChoice(index, text),
      finish_reason: finishReasons.get(index) ?? null,
    })),
    usage,
  };
}
